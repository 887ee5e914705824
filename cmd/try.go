package cmd

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"
	"github.com/vanillaroute/vanillaroute/logs"
	"github.com/vanillaroute/vanillaroute/settings"
	"github.com/vanillaroute/vanillaroute/standin/embedded"
	"github.com/vanillaroute/vanillaroute/standin/site"
	"github.com/vanillaroute/vanillaroute/tomlfile"
)

const tryAddressValidity = 500 * time.Millisecond

type tryCmd struct {
	cmd      *cobra.Command
	json     string
	duration time.Duration
	routers  int
	level    string
}

func newTryCmd() *tryCmd {
	root := &tryCmd{}
	root.cmd = &cobra.Command{
		Use:   "try",
		Short: "Runs routers with stand-ins for engines, services and the platform in one process",
		Args:  cobra.NoArgs,
		RunE:  func(cmd *cobra.Command, _ []string) error { return root.run(cmd) },
	}
	flags := root.cmd.Flags()
	flags.StringVar(&root.json, "json", "", "file to write all addresses and keys to, as JSON")
	flags.DurationVar(&root.duration, "duration", 0, "time after which to stop; 0 runs until interrupted")
	flags.IntVar(&root.routers, "routers", 3, "number of routers")
	flags.StringVar(&root.level, "log", "warn", "log level")
	return root
}

func (t *tryCmd) run(cmd *cobra.Command) error {
	log, err := logs.New(t.level, "")
	if err != nil {
		return err
	}
	d, err := embedded.Start(site.DefaultConfig(), embedded.Options{Routers: t.routers, Log: log, AdjustSettings: shortenAddressValidity})
	if err != nil {
		return err
	}
	defer d.Site.Close()
	description := d.Site.Describe(d.Addresses(), d.OperatorKey)
	if t.json != "" {
		if err := description.WriteFile(t.json); err != nil {
			return err
		}
	}
	printDescription(cmd.OutOrStdout(), description)
	waitFor(cmd.Context(), t.duration)
	for _, n := range d.Nodes() {
		n.Stop()
	}
	for _, n := range d.Nodes() {
		if err := n.Wait(); err != nil {
			return err
		}
	}
	return nil
}

// shortenAddressValidity lets the routers stop quickly; callers of a trial do not cache addresses.
func shortenAddressValidity(s *settings.Settings) {
	s.Routing.AddressValidity = tomlfile.NewDuration(tryAddressValidity)
}

func printDescription(out io.Writer, d site.Description) {
	for _, r := range d.Routers {
		fmt.Fprintln(out, "router:  ", r)
	}
	for _, e := range d.Engines {
		fmt.Fprintln(out, "engine:  ", e.Address, e.ID)
	}
	for _, s := range d.Services {
		fmt.Fprintln(out, "service: ", s.Address, s.ID)
	}
	fmt.Fprintln(out, "store:   ", d.Store)
	fmt.Fprintln(out, "key:     ", d.Organisations[0].Key)
	fmt.Fprintln(out, "operator:", d.OperatorKey)
	fmt.Fprintf(out, "\ncurl -N %s/v1/chat/completions -H 'Authorization: Bearer %s' -H 'Content-Type: application/json' -d '{\"model\":\"%s\",\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"Who cast the bell of Morlaix?\"}]}'\n",
		d.Routers[0], d.Organisations[0].Key, d.Engines[0].Model)
}

// waitFor waits until ctx ends or, if d is not 0, until d has passed.
func waitFor(ctx context.Context, d time.Duration) {
	if d > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, d)
		defer cancel()
	}
	<-ctx.Done()
}
