package cmd

import (
	"bytes"
	"context"
	"os"
	"os/signal"
	"path/filepath"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/spf13/cobra"
	"github.com/vanillaroute/vanillaroute/logs"
	"github.com/vanillaroute/vanillaroute/platform"
	"github.com/vanillaroute/vanillaroute/process/entry"
	"go.uber.org/zap"
)

const (
	// logFlushTimeout is how long a stopping process waits for the reader of its logs.
	logFlushTimeout = 100 * time.Millisecond
	// settingsPollInterval is the time between two reads of the settings file, which may change without a signal.
	settingsPollInterval = time.Second
)

type entryCmd struct {
	cmd    *cobra.Command
	config string
	level  string
}

func newEntryCmd() *entryCmd {
	root := &entryCmd{}
	root.cmd = &cobra.Command{
		Use:   "entry",
		Short: "Runs an entry instance on the users' platform until it is stopped, then finishes the requests in flight",
		Args:  cobra.NoArgs,
		RunE:  func(cmd *cobra.Command, _ []string) error { return root.run(cmd.Context()) },
	}
	root.cmd.Flags().StringVar(&root.config, "config", platform.SettingsFile(), "settings file")
	root.cmd.Flags().StringVar(&root.level, "log", "info", "log level")
	return root
}

func (e *entryCmd) run(ctx context.Context) error {
	// SIGHUP ends a process that does not handle it, and may arrive while the process starts.
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	s, err := entry.Load(e.config)
	if err != nil {
		return &settingsError{err}
	}
	log, sink, err := logs.NewBounded(os.Stdout, e.level, s.Instance.Name, logs.Budget{Lines: logs.DefaultLines, Bytes: logs.DefaultBytes})
	if err != nil {
		return err
	}
	defer sink.Close(logFlushTimeout)
	stopCounting := sink.ReportDropped(log)
	defer stopCounting()
	if err := limitMemory(s); err != nil {
		return err
	}
	n, err := entry.New(s, platform.New(s.Store.Address.String()), log, time.Now())
	if err != nil {
		return err
	}
	watchCtx, stop := context.WithCancel(ctx)
	defer stop()
	reload := func(s entry.Settings) {
		if err := limitMemory(s); err != nil {
			log.Warn("memory limit not changed", zap.Error(err))
		}
		n.Reload(s)
	}
	go watchSettings(watchCtx, e.config, hangup, reload, log)
	return n.Run(ctx)
}

// limitMemory sets the memory limit of the Go runtime.
func limitMemory(s entry.Settings) error {
	limit, err := s.SoftMemoryLimit()
	if err == nil {
		debug.SetMemoryLimit(limit)
	}
	return err
}

// watchSettings reloads the settings file at each signal and whenever its content changes, until ctx ends. If the file
// cannot be read or is invalid, the last valid settings stay in use.
func watchSettings(ctx context.Context, file string, hangup <-chan os.Signal, reload func(entry.Settings), log *zap.Logger) {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	last, err := os.ReadFile(filepath.Clean(file))
	if err != nil {
		log.Warn("cannot read settings file", zap.Error(err))
	}
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return
		case <-hangup:
			signalled = true
		case <-ticker.C:
		}
		data, err := os.ReadFile(filepath.Clean(file))
		if !signalled && bytes.Equal(data, last) {
			continue
		}
		last = data
		var updated entry.Settings
		if err == nil {
			updated, err = entry.Parse(file, data)
		}
		if err != nil {
			log.Warn("settings not reloaded", zap.Error(err))
			continue
		}
		reload(updated)
	}
}
