package cmd

import (
	"encoding/json"
	"fmt"
	"os"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"
	"github.com/vanillaroute/vanillaroute/standin/measure"
)

const slopesFileMode = 0o644

type measureCmd struct {
	cmd    *cobra.Command
	record string
}

func newMeasureCmd() *measureCmd {
	root := &measureCmd{}
	root.cmd = &cobra.Command{Use: "measure", Short: "Measures the cost of one more unit of load for a router, with small stand-ins"}
	root.cmd.PersistentFlags().StringVar(&root.record, "record", "", "file of slopes to update with the measurements, such as docs/slopes.json")
	for _, part := range []struct {
		use, short string
		run        func() ([]measure.Slope, error)
	}{
		{"state", "Measures the memory of a router's state and the cost of a change of its view", measure.State},
		{"traffic", "Measures the processor time per token and per request", measure.Traffic},
		{"control", "Measures control traffic, memory of streams, and writes to the store", measure.Control},
	} {
		root.cmd.AddCommand(&cobra.Command{
			Use: part.use, Short: part.short, Args: cobra.NoArgs,
			RunE: func(cmd *cobra.Command, _ []string) error { return root.run(cmd, part.run) },
		})
	}
	return root
}

func (m *measureCmd) run(cmd *cobra.Command, run func() ([]measure.Slope, error)) error {
	slopes, err := run()
	if err != nil {
		return err
	}
	for _, s := range slopes {
		fmt.Fprintf(cmd.OutOrStdout(), "%-20s %12.3f %s per %s (base %.1f, R² %.4f, spread %.1f%%)\n", s.Name, s.Slope, s.Unit, s.Per, s.Base, s.RSquare, 100*s.Spread)
	}
	if m.record == "" {
		return nil
	}
	return recordSlopes(m.record, slopes)
}

// recordSlopes replaces slopes in a file by new measurements and creates the file if it does not exist.
func recordSlopes(file string, measured []measure.Slope) error {
	known, err := measure.Read(file)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return err
	}
	for _, s := range measured {
		known = known.With(s)
	}
	body, err := json.MarshalIndent(known, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode slopes")
	}
	return errors.Wrap(os.WriteFile(file, append(body, '\n'), slopesFileMode), "write slopes")
}
