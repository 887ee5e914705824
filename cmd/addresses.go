package cmd

import (
	"fmt"
	"net/http"
	"net/url"

	"github.com/spf13/cobra"
)

type addressesCmd struct {
	cmd    *cobra.Command
	client operatorClient
	chat   string
	model  string
}

func newAddressesCmd() *addressesCmd {
	root := &addressesCmd{}
	root.cmd = &cobra.Command{
		Use:   "addresses",
		Short: "Shows the addresses that callers should use, with or without an organisation's key",
		Args:  cobra.NoArgs,
		RunE:  func(cmd *cobra.Command, _ []string) error { return root.run(cmd) },
	}
	root.client.addFlags(root.cmd)
	root.cmd.Flags().StringVar(&root.chat, "chat", "", "chat to return addresses for")
	root.cmd.Flags().StringVar(&root.model, "model", "", "model to return addresses for")
	return root
}

func (a *addressesCmd) run(cmd *cobra.Command) error {
	var body struct {
		Addresses []string `json:"addresses"`
		ValidMs   int64    `json:"validMs"`
	}
	query := url.Values{"chat": {a.chat}, "model": {a.model}}
	if _, err := a.client.call(cmd.Context(), http.MethodGet, "/v1/addresses?"+query.Encode(), nil, &body); err != nil {
		return err
	}
	for _, address := range body.Addresses {
		fmt.Fprintln(cmd.OutOrStdout(), address)
	}
	fmt.Fprintf(cmd.OutOrStdout(), "valid for %d ms\n", body.ValidMs)
	return nil
}
