package cmd

import (
	"encoding/json"
	"fmt"
	"net/http"
	"text/tabwriter"

	"github.com/spf13/cobra"
	"github.com/vanillaroute/vanillaroute/connection/callers"
)

type statusCmd struct {
	cmd    *cobra.Command
	client operatorClient
	json   bool
}

func newStatusCmd() *statusCmd {
	root := &statusCmd{}
	root.cmd = &cobra.Command{
		Use:   "status",
		Short: "Shows routers, engines with their homes, and the active revision on each router",
		Args:  cobra.NoArgs,
		RunE:  func(cmd *cobra.Command, _ []string) error { return root.run(cmd) },
	}
	root.client.addFlags(root.cmd)
	root.cmd.Flags().BoolVar(&root.json, "json", false, "write JSON")
	return root
}

func (s *statusCmd) run(cmd *cobra.Command) error {
	var body callers.StatusBody
	if _, err := s.client.call(cmd.Context(), http.MethodGet, "/admin/status", nil, &body); err != nil {
		return err
	}
	if s.json {
		return json.NewEncoder(cmd.OutOrStdout()).Encode(body)
	}
	table := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "ROUTER\tREADY\tLEAVING\tREVISION\tDIGEST")
	for _, r := range body.Routers {
		fmt.Fprintf(table, "%s\t%t\t%t\t%d\t%016x\n", r.Router, r.Ready, r.Leaving, r.Revision, r.Sum)
	}
	fmt.Fprintln(table, "\nENGINE\tHOME\tRUNNING\tQUEUED\tWEIGHT\tLEAVING")
	for _, r := range body.Routers {
		for _, e := range r.Engines {
			fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%.2f\t%t\n", e.Engine, e.Home, e.Running, e.Queued, e.Weight, e.Leaving)
		}
	}
	for _, r := range body.Rejected {
		fmt.Fprintf(table, "\nrejected: %s, revision %d: %s\n", r.Key, r.Revision, r.Reason)
	}
	return table.Flush()
}
