package cmd

import (
	"fmt"
	"slices"
	"time"

	"github.com/spf13/cobra"
	"github.com/vanillaroute/vanillaroute/replay"
	"github.com/vanillaroute/vanillaroute/standin/experiment"
)

const reportFileMode = 0o644

type experimentCmd struct {
	cmd       *cobra.Command
	seed      uint64
	duration  time.Duration
	scenarios []string
	policies  []string
	json      string
	html      string
}

func newExperimentCmd() *experimentCmd {
	root := &experimentCmd{}
	root.cmd = &cobra.Command{
		Use:   "experiment",
		Short: "Compares the routers with simple routing policies on the same generated traces",
		Args:  cobra.NoArgs,
		RunE:  func(cmd *cobra.Command, _ []string) error { return root.run(cmd) },
	}
	flags := root.cmd.Flags()
	flags.Uint64Var(&root.seed, "seed", 1, "seed of the traces")
	flags.DurationVar(&root.duration, "duration", 20*time.Second, "length of each trace")
	flags.StringSliceVar(&root.scenarios, "scenarios", []string{"steady", "noNotes", "churn", "slowed", "crest"}, "scenarios to run")
	flags.StringSliceVar(&root.policies, "policies", []string{string(experiment.Routers), string(replay.RoundRobin), string(replay.LeastReported), string(replay.TwoChoices), string(replay.Rendezvous)}, "policies to run")
	flags.StringVar(&root.json, "json", "", "file to write the rows to, as JSON")
	flags.StringVar(&root.html, "html", "", "file to write a page with plots to")
	return root
}

func (e *experimentCmd) run(cmd *cobra.Command) error {
	var rows []experiment.Row
	for _, s := range experiment.Scenarios(e.seed, e.duration) {
		if !slices.Contains(e.scenarios, string(s.Name)) {
			continue
		}
		for _, policy := range e.policies {
			row, err := experiment.Run(cmd.Context(), s, replay.Policy(policy))
			if err != nil {
				return err
			}
			fmt.Fprintf(cmd.ErrOrStderr(), "%s, %s: done\n", s.Name, policy)
			for _, text := range row.Errors {
				fmt.Fprintln(cmd.ErrOrStderr(), "  error:", text)
			}
			rows = append(rows, row)
		}
	}
	if err := experiment.WriteText(cmd.OutOrStdout(), rows); err != nil {
		return err
	}
	return writeRows(e.json, e.html, rows)
}
