package cmd

import (
	"os"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"
	"github.com/vanillaroute/vanillaroute/soak"
)

type soakCmd struct {
	cmd       *cobra.Command
	seed      uint64
	seeds     int
	duration  time.Duration
	instances int
	// Every largeEvery-th seed runs with largeInstances.
	largeEvery     uint64
	largeInstances int
}

func newSoakCmd() *soakCmd {
	root := &soakCmd{}
	root.cmd = &cobra.Command{
		Use:   "soak",
		Short: "Runs entry instances as processes under random faults and checks the results of callers and engines",
		Args:  cobra.NoArgs,
		RunE:  func(cmd *cobra.Command, _ []string) error { return root.run(cmd) },
	}
	flags := root.cmd.Flags()
	flags.Uint64Var(&root.seed, "seed", 1, "seed of the first run")
	flags.IntVar(&root.seeds, "seeds", 1, "number of runs, each with the next seed")
	flags.DurationVar(&root.duration, "duration", 10*time.Second, "time during which each run injects faults")
	flags.IntVar(&root.instances, "instances", 3, "number of entry instances")
	flags.Uint64Var(&root.largeEvery, "largeEvery", 0, "run each seed that is a multiple of this with largeInstances; 0 for none")
	flags.IntVar(&root.largeInstances, "largeInstances", 60, "number of entry instances in a large run")
	return root
}

func (s *soakCmd) run(cmd *cobra.Command) error {
	binary, err := os.Executable()
	if err != nil {
		return errors.Wrap(err, "locate executable")
	}
	for seed := s.seed; seed < s.seed+uint64(s.seeds); seed++ {
		dir, err := os.MkdirTemp("", "soak")
		if err != nil {
			return errors.Wrap(err, "create log directory")
		}
		instances := s.instances
		if s.largeEvery > 0 && seed%s.largeEvery == 0 {
			instances = s.largeInstances
		}
		o := soak.Options{Seed: seed, Duration: s.duration, Instances: instances, Binary: binary, Dir: dir, Out: cmd.OutOrStdout()}
		if err := soak.Run(cmd.Context(), o); err != nil {
			return errors.Wrapf(err, "logs in %s", dir)
		}
		if err := os.RemoveAll(dir); err != nil {
			return errors.Wrap(err, "remove logs")
		}
	}
	return nil
}
