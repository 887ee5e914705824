package cmd

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"
	"github.com/vanillaroute/vanillaroute/platform"
	"github.com/vanillaroute/vanillaroute/process/entry"
	"github.com/vanillaroute/vanillaroute/process/logs"
	"go.uber.org/zap"
)

// logFlush bounds how long a stopping process waits for the reader of its logs.
const logFlush = 100 * time.Millisecond

type entryCmd struct {
	cmd    *cobra.Command
	config string
	level  string
}

func newEntryCmd() *entryCmd {
	root := &entryCmd{}
	root.cmd = &cobra.Command{
		Use:   "entry",
		Short: "Runs an entry instance on the users' platform until it is told to stop, then finishes what is in progress",
		Args:  cobra.NoArgs,
		RunE:  func(cmd *cobra.Command, _ []string) error { return root.run(cmd.Context()) },
	}
	root.cmd.Flags().StringVar(&root.config, "config", platform.SettingsFile(), "settings file")
	root.cmd.Flags().StringVar(&root.level, "log", "info", "log level")
	return root
}

func (e *entryCmd) run(ctx context.Context) error {
	s, err := entry.Load(e.config)
	if err != nil {
		return &settingsError{err}
	}
	log, sink, err := logs.NewBounded(os.Stdout, e.level, s.Instance.Name, logs.Budget{Lines: logs.DefaultLines, Bytes: logs.DefaultBytes})
	if err != nil {
		return err
	}
	defer sink.Close(logFlush)
	stopCounting := sink.CountLeftOut(log)
	defer stopCounting()
	n, err := entry.New(s, platform.New(s.Store.Address.String()), log, time.Now())
	if err != nil {
		return err
	}
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	go func() {
		for range hangup {
			fresh, err := entry.Load(e.config)
			if err != nil {
				log.Warn("settings not reloaded", zap.Error(err))
				continue
			}
			n.Reload(fresh)
		}
	}()
	return n.Run(ctx)
}
