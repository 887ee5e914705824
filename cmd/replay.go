package cmd

import (
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"
	"github.com/vanillaroute/vanillaroute/ident"
	"github.com/vanillaroute/vanillaroute/replay"
	"github.com/vanillaroute/vanillaroute/standin/check"
	"github.com/vanillaroute/vanillaroute/standin/experiment"
	"github.com/vanillaroute/vanillaroute/standin/site"
)

const traceFileMode = 0o644

type replayCmd struct {
	cmd             *cobra.Command
	descriptionFile string
	json            string
	html            string
	generate        string
	seed            uint64
	duration        time.Duration
}

func newReplayCmd() *replayCmd {
	root := &replayCmd{}
	root.cmd = &cobra.Command{
		Use:   "replay TRACE",
		Short: "Replays a recorded trace against routers and checks the outcome of every request",
		Args:  cobra.ExactArgs(1),
		RunE:  func(cmd *cobra.Command, args []string) error { return root.run(cmd, args[0]) },
	}
	flags := root.cmd.Flags()
	flags.StringVar(&root.descriptionFile, "at", "", "file that try or standin wrote with --json: routers, keys and stand-ins")
	flags.StringVar(&root.json, "json", "", "file to write the report to, as JSON")
	flags.StringVar(&root.html, "html", "", "file to write the report to, as a page with plots")
	flags.StringVar(&root.generate, "generate", "", "generate TRACE first, with this mix: museum or trust")
	flags.Uint64Var(&root.seed, "seed", 1, "seed of a generated trace")
	flags.DurationVar(&root.duration, "duration", 20*time.Second, "length of a generated trace")
	return root
}

func (r *replayCmd) run(cmd *cobra.Command, file string) error {
	if r.generate != "" {
		if err := r.generateTrace(file); err != nil {
			return err
		}
	}
	if r.descriptionFile == "" {
		return nil
	}
	trace, err := readTrace(file)
	if err != nil {
		return err
	}
	description, err := site.ReadDescription(r.descriptionFile)
	if err != nil {
		return err
	}
	keys := make(map[ident.Organisation]string)
	for _, o := range description.Organisations {
		keys[o.Name] = o.Key
	}
	target := replay.NewRouters(description.Engines[0].Model, description.Routers, keys, check.ExpectedAnswer)
	defer target.Close()
	row := experiment.Summarise(replay.Run(cmd.Context(), trace, target), trace[len(trace)-1].At())
	duplicates, err := description.DuplicateExecutions(cmd.Context())
	if err != nil {
		return err
	}
	return r.report(cmd, row, duplicates)
}

// report writes the results. It returns an error if an outcome is not the expected one or a call ran twice.
func (r *replayCmd) report(cmd *cobra.Command, row experiment.Row, duplicates []string) error {
	rows := []experiment.Row{row}
	if err := experiment.WriteText(cmd.OutOrStdout(), rows); err != nil {
		return err
	}
	if err := writeRows(r.json, r.html, rows); err != nil {
		return err
	}
	for _, text := range append(row.Errors, duplicates...) {
		fmt.Fprintln(cmd.OutOrStdout(), "unexpected:", text)
	}
	if row.Unexpected > 0 || len(duplicates) > 0 {
		return errors.Errorf("%d unexpected outcomes, %d calls ran twice", row.Unexpected, len(duplicates))
	}
	fmt.Fprintln(cmd.OutOrStdout(), "all outcomes are as expected")
	return nil
}

func (r *replayCmd) generateTrace(file string) error {
	var mix replay.Mix
	switch r.generate {
	case "museum":
		mix = replay.MuseumMix(r.seed, r.duration)
	case "trust":
		mix = replay.TrustMix(r.seed, r.duration)
	default:
		return errors.Errorf("mix %q: expected museum or trust", r.generate)
	}
	f, err := os.OpenFile(file, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, traceFileMode)
	if err != nil {
		return errors.Wrap(err, "create trace")
	}
	if err := replay.Write(f, replay.Generate(mix)); err != nil {
		return errors.Wrap(err, "write trace")
	}
	return errors.Wrap(f.Close(), "write trace")
}

func readTrace(file string) ([]replay.Request, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, errors.Wrap(err, "open trace")
	}
	defer func() { _ = f.Close() }()
	trace, err := replay.Read(f)
	if err == nil && len(trace) == 0 {
		err = errors.New("trace is empty")
	}
	return trace, err
}

// writeRows writes rows as JSON and as an HTML page. An empty file name skips that format.
func writeRows(jsonFile, htmlFile string, rows []experiment.Row) error {
	if jsonFile != "" {
		body, err := json.MarshalIndent(rows, "", "  ")
		if err != nil {
			return errors.Wrap(err, "encode rows")
		}
		if err := os.WriteFile(jsonFile, append(body, '\n'), reportFileMode); err != nil {
			return errors.Wrap(err, "write rows")
		}
	}
	if htmlFile == "" {
		return nil
	}
	f, err := os.Create(htmlFile)
	if err != nil {
		return errors.Wrap(err, "create page")
	}
	if err := experiment.WriteHTML(f, rows); err != nil {
		return err
	}
	return errors.Wrap(f.Close(), "write page")
}
