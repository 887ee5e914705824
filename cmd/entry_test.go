package cmd

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/vanillaroute/vanillaroute/process/entry"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

// TestInvalidSettingsExitWithCode2 checks that invalid settings give exit code 2 and one line that names the error.
func TestInvalidSettingsExitWithCode2(t *testing.T) {
	tests := []struct{ name, content, want string }{
		{"missing file", "", "read settings"},
		{"truncated file", "[instance]\nname = \"n1", "entry.toml:2"},
		{"wrong type", "[instance]\nname = 5\n", "entry.toml:2"},
		{"missing field", "[instance]\nname = \"n1\"\n", "instance.failureDomain"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			file := filepath.Join(t.TempDir(), "entry.toml")
			if tt.content != "" {
				if err := os.WriteFile(file, []byte(tt.content), 0o600); err != nil {
					t.Fatal(err)
				}
			}
			code := -1
			var stderr bytes.Buffer
			root := newRootCmd(func(c int) { code = c })
			root.cmd.SetErr(&stderr)
			root.execute(context.Background(), []string{"entry", "--config", file})
			if code != 2 || strings.Count(stderr.String(), "\n") != 1 || !strings.Contains(stderr.String(), tt.want) {
				t.Fatalf("exit %d, stderr %q, want %q", code, stderr.String(), tt.want)
			}
		})
	}
}

// TestSettingsFileIsWatched checks that settings are reloaded at a signal and after a change without a signal. Invalid
// content is logged once and does not stop later reloads.
func TestSettingsFileIsWatched(t *testing.T) {
	file := filepath.Join(t.TempDir(), "entry.toml")
	write := func(text string) {
		t.Helper()
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	good := func(shutdown string) string {
		return fmt.Sprintf(`[instance]
name = "n1"
failureDomain = "a"
callers = "127.0.0.1:1"
ready = "127.0.0.1:2"
directory = "127.0.0.1:3"
peers = "127.0.0.1:4"
[store]
address = "127.0.0.1:5"
[bounds]
shutdown = %q
[retries]
window = "10s"
`, shutdown)
	}
	write(good("5s"))
	hangup := make(chan os.Signal, 1)
	reloads := make(chan time.Duration, 16)
	core, seen := observer.New(zap.WarnLevel)
	ctx, stop := context.WithCancel(t.Context())
	var watcher sync.WaitGroup
	watcher.Go(func() {
		watchSettings(ctx, file, hangup, func(s entry.Settings) { reloads <- s.Bounds.Shutdown.Std() }, zap.New(core))
	})
	defer watcher.Wait()
	defer stop()
	await := func(want time.Duration) {
		t.Helper()
		select {
		case got := <-reloads:
			if got != want {
				t.Fatalf("reloaded with %s, want %s", got, want)
			}
		case <-time.After(10 * time.Second):
			t.Fatalf("not reloaded with %s", want)
		}
	}
	hangup <- syscall.SIGHUP
	await(5 * time.Second)
	write(good("6s"))
	await(6 * time.Second)
	write(good("soon"))
	for deadline := time.Now().Add(10 * time.Second); seen.FilterMessage("settings not reloaded").Len() == 0; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("invalid settings are not logged")
		}
	}
	time.Sleep(2 * settingsPollInterval)
	if n := seen.FilterMessage("settings not reloaded").Len(); n != 1 {
		t.Errorf("invalid settings are logged %d times", n)
	}
	write(good("7s"))
	await(7 * time.Second)
}

// TestHangupDuringStartDoesNotEndTheProcess sends SIGHUP to a process that is still reading its settings. Without a handler, SIGHUP ends it.
func TestHangupDuringStartDoesNotEndTheProcess(t *testing.T) {
	file := filepath.Join(t.TempDir(), "entry.toml")
	if err := syscall.Mkfifo(file, 0o600); err != nil {
		t.Fatal(err)
	}
	process := exec.Command(os.Args[0], "entry", "--config", file)
	process.Env = append(os.Environ(), runEnv+"=1")
	if err := process.Start(); err != nil {
		t.Fatal(err)
	}
	// The pipe opens once the process reads its settings.
	pipe, err := os.OpenFile(file, os.O_WRONLY, 0)
	if err != nil {
		t.Fatal(err)
	}
	if err := process.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	time.Sleep(100 * time.Millisecond)
	// Empty settings are invalid, so the process ends with that error.
	if err := pipe.Close(); err != nil {
		t.Fatal(err)
	}
	if err := process.Wait(); err == nil || process.ProcessState.ExitCode() != 2 {
		t.Errorf("the process ended with %v", err)
	}
}
