package cmd

import (
	"fmt"

	"github.com/spf13/cobra"
	"github.com/vanillaroute/vanillaroute/standin/site"
	"github.com/vanillaroute/vanillaroute/version/lists"
)

type keyCmd struct {
	cmd *cobra.Command
}

func newKeyCmd() *keyCmd {
	root := &keyCmd{}
	root.cmd = &cobra.Command{
		Use:   "key",
		Short: "Generates a random key and its hash for lists and settings",
		Args:  cobra.NoArgs,
		Run: func(cmd *cobra.Command, _ []string) {
			key := site.NewAPIKey()
			fmt.Fprintf(cmd.OutOrStdout(), "key:  %s\nhash: %s\n", key, lists.HashKey(key))
		},
	}
	return root
}
