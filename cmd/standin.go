package cmd

import (
	"fmt"
	"time"

	"github.com/spf13/cobra"
	"github.com/vanillaroute/vanillaroute/ident"
	"github.com/vanillaroute/vanillaroute/settings"
	"github.com/vanillaroute/vanillaroute/standin/site"
)

type standinCmd struct {
	cmd      *cobra.Command
	json     string
	settings string
	routers  int
	duration time.Duration
}

func newStandinCmd() *standinCmd {
	root := &standinCmd{}
	root.cmd = &cobra.Command{
		Use:   "standin",
		Short: "Runs only the stand-ins and writes settings files for routers that are started separately",
		Args:  cobra.NoArgs,
		RunE:  func(cmd *cobra.Command, _ []string) error { return root.run(cmd) },
	}
	flags := root.cmd.Flags()
	flags.StringVar(&root.json, "json", "", "file to write all addresses and keys to, as JSON")
	flags.StringVar(&root.settings, "settings", "", "directory to write one settings file for each router to")
	flags.IntVar(&root.routers, "routers", 3, "number of routers")
	flags.DurationVar(&root.duration, "duration", 0, "time after which to stop; 0 runs until interrupted")
	return root
}

func (s *standinCmd) run(cmd *cobra.Command) error {
	config := site.DefaultConfig()
	standins, err := site.Start(config)
	if err != nil {
		return err
	}
	defer standins.Close()
	key := site.NewAPIKey()
	routers, err := routerSettings(standins, s.routers, key)
	if err != nil {
		return err
	}
	var addresses []string
	if s.settings != "" {
		if addresses, err = standins.WriteSettings(s.settings, routers); err != nil {
			return err
		}
	}
	description := standins.Describe(addresses, key)
	if s.json != "" {
		if err := description.WriteFile(s.json); err != nil {
			return err
		}
	}
	fmt.Fprintln(cmd.OutOrStdout(), "stand-ins are running; store at", description.Store)
	waitFor(cmd.Context(), s.duration)
	return nil
}

// routerSettings creates settings for n routers with unique addresses and adds the routers to the instance list.
func routerSettings(standins *site.Site, n int, operatorKey string) ([]settings.Settings, error) {
	var list []settings.Settings
	for i := range n {
		id := ident.Router(fmt.Sprintf("router-%d", i+1))
		v, err := standins.Settings(id, standins.Config.Domains[i%len(standins.Config.Domains)], standins.NextAddress(), standins.NextAddress(), operatorKey)
		if err != nil {
			return nil, err
		}
		standins.RegisterRouter(v)
		list = append(list, v)
	}
	return list, nil
}
