package cmd

import (
	"context"
	"fmt"
	"os/signal"
	"syscall"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"
)

type (
	rootCmd struct {
		cmd  *cobra.Command
		exit func(int)
	}

	// settingsError means that a process cannot start because its settings are invalid.
	settingsError struct{ cause error }
)

// Error returns the message of the cause.
func (e *settingsError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *settingsError) Unwrap() error { return e.cause }

// Execute runs the command line and calls exit with 0 on success, 2 for invalid settings of an entry instance, the code
// of an exitError, and 1 for any other error.
func Execute(exit func(int), args []string) {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	newRootCmd(exit).execute(ctx, args)
}

func newRootCmd(exit func(int)) *rootCmd {
	root := &rootCmd{exit: exit}
	root.cmd = &cobra.Command{
		Use:           "vanillaroute",
		Short:         "Routes chat and service requests to a fleet of engines",
		SilenceUsage:  true,
		SilenceErrors: true,
		Args:          cobra.NoArgs,
	}
	root.cmd.AddCommand(
		newServeCmd().cmd,
		newEntryCmd().cmd,
		newExplainCmd().cmd,
		newSoakCmd().cmd,
		newCheckCmd().cmd,
		newListCmd(planList).cmd,
		newListCmd(allowanceList).cmd,
		newStatusCmd().cmd,
		newAddressesCmd().cmd,
		newKeyCmd().cmd,
		newTryCmd().cmd,
		newStandinCmd().cmd,
		newMeasureCmd().cmd,
		newExperimentCmd().cmd,
		newReplayCmd().cmd,
		newCapacityCmd().cmd,
	)
	return root
}

func (r *rootCmd) execute(ctx context.Context, args []string) {
	r.cmd.SetArgs(args)
	if err := r.cmd.ExecuteContext(ctx); err != nil {
		fmt.Fprintln(r.cmd.ErrOrStderr(), "error:", err)
		var settings *settingsError
		if errors.As(err, &settings) {
			r.exit(2)
			return
		}
		var exit *exitError
		if errors.As(err, &exit) {
			r.exit(exit.code)
			return
		}
		r.exit(1)
		return
	}
	r.exit(0)
}
