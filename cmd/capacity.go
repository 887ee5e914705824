package cmd

import (
	"os"
	"strings"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"
	"github.com/vanillaroute/vanillaroute/standin/capacity"
	"github.com/vanillaroute/vanillaroute/standin/measure"
)

const pageFileMode = 0o644

type capacityCmd struct {
	cmd    *cobra.Command
	slopes string
	page   string
}

func newCapacityCmd() *capacityCmd {
	root := &capacityCmd{}
	root.cmd = &cobra.Command{
		Use:   "capacity",
		Short: "Updates the tables of the capacity page from the recorded slopes",
		Args:  cobra.NoArgs,
		RunE:  func(*cobra.Command, []string) error { return root.run() },
	}
	root.cmd.Flags().StringVar(&root.slopes, "slopes", "docs/slopes.json", "recorded slopes")
	root.cmd.Flags().StringVar(&root.page, "page", "docs/CAPACITY.md", "page to update")
	return root
}

func (c *capacityCmd) run() error {
	slopes, err := measure.Read(c.slopes)
	if err != nil {
		return err
	}
	p, err := capacity.Compute(capacity.TargetFleet, slopes)
	if err != nil {
		return err
	}
	var tables strings.Builder
	if err := capacity.Render(&tables, p, slopes); err != nil {
		return err
	}
	page, err := os.ReadFile(c.page)
	if err != nil {
		return errors.Wrap(err, "read page")
	}
	updated, err := capacity.Replace(string(page), tables.String())
	if err != nil {
		return err
	}
	return errors.Wrap(os.WriteFile(c.page, []byte(updated), pageFileMode), "write page")
}
