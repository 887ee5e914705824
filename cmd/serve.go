package cmd

import (
	"runtime/debug"
	"time"

	"github.com/spf13/cobra"
	"github.com/vanillaroute/vanillaroute/logs"
	"github.com/vanillaroute/vanillaroute/process/router"
	"github.com/vanillaroute/vanillaroute/settings"
	"github.com/vanillaroute/vanillaroute/sizelimit"
)

type serveCmd struct {
	cmd    *cobra.Command
	config string
}

func newServeCmd() *serveCmd {
	root := &serveCmd{}
	root.cmd = &cobra.Command{
		Use:   "serve",
		Short: "Runs a router until it is stopped, then finishes the requests in flight",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, err := settings.Load(root.config)
			if err != nil {
				return err
			}
			log, err := logs.New(s.Log.Level, s.Router.ID)
			if err != nil {
				return err
			}
			if memory := s.Limits.Memory.Int64(); memory > 0 {
				debug.SetMemoryLimit(sizelimit.SoftMemory(memory))
			}
			r, err := router.New(s, router.Options{Log: log}, time.Now())
			if err != nil {
				return err
			}
			return r.Run(cmd.Context())
		},
	}
	root.cmd.Flags().StringVar(&root.config, "config", "router.toml", "settings file")
	return root
}
