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
		Short: "Tells one request's story, each decision with its inputs, from the logs of several instances or from standard input",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return explain(cmd.OutOrStdout(), cmd.InOrStdin(), args[0], args[1:])
		},
	}
	return root
}

func explain(out io.Writer, in io.Reader, request string, files []string) error {
	story := logs.NewTimeline(request)
	if len(files) == 0 {
		if err := story.Read("standard input", in); err != nil {
			return err
		}
	}
	for _, name := range files {
		if err := story.ReadFile(name); err != nil {
			return err
		}
	}
	lines, err := story.Lines()
	if err != nil {
		return err
	}
	for _, line := range lines {
		fmt.Fprintln(out, line.String(lines[0].At))
	}
	return nil
}
