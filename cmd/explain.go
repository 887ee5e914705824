package cmd

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"
	"github.com/vanillaroute/vanillaroute/logs"
)

type explainCmd struct {
	cmd *cobra.Command
}

func newExplainCmd() *explainCmd {
	root := &explainCmd{}
	root.cmd = &cobra.Command{
		Use:   "explain REQUEST [FILE…]",
		Short: "Shows the timeline of one request, each decision with its inputs, from log files of instances or from standard input",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return explain(cmd.OutOrStdout(), cmd.InOrStdin(), args[0], args[1:])
		},
	}
	return root
}

func explain(out io.Writer, in io.Reader, request string, files []string) error {
	timeline := logs.NewTimeline(request)
	if len(files) == 0 {
		if err := timeline.Read("standard input", in); err != nil {
			return err
		}
	}
	for _, name := range files {
		if err := timeline.ReadFile(name); err != nil {
			return err
		}
	}
	lines, err := timeline.Lines()
	if err != nil {
		return err
	}
	for _, line := range lines {
		fmt.Fprintln(out, line.String(lines[0].At))
	}
	return nil
}
