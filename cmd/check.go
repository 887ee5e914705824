package cmd

import (
	"fmt"
	"os"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"
	"github.com/vanillaroute/vanillaroute/process/entry"
	"github.com/vanillaroute/vanillaroute/settings"
	"github.com/vanillaroute/vanillaroute/version/lists"
)

type checkCmd struct {
	cmd *cobra.Command
}

func newCheckCmd() *checkCmd {
	root := &checkCmd{}
	root.cmd = &cobra.Command{
		Use:   "check FILE…",
		Short: "Checks settings and lists, and reports file, line and field of every error",
		Args:  cobra.MinimumNArgs(1),
		RunE:  checkFiles,
	}
	return root
}

// checkFiles checks each file on its own and then the references between all list files. It returns an error if any check
// fails.
func checkFiles(cmd *cobra.Command, files []string) error {
	var merged lists.File
	failed, hasAllowances := 0, false
	for _, name := range files {
		f, err := checkFile(name)
		if err != nil {
			fmt.Fprintln(cmd.ErrOrStderr(), err)
			failed++
			continue
		}
		merged.Plans = append(merged.Plans, f.Plans...)
		merged.Allowances = append(merged.Allowances, f.Allowances...)
		hasAllowances = hasAllowances || f.Allowances != nil
		fmt.Fprintf(cmd.OutOrStdout(), "%s: ok\n", name)
	}
	// Without a list of allowances, the references of the plans cannot be checked.
	if hasAllowances {
		if err := merged.CheckReferences(); err != nil {
			fmt.Fprintln(cmd.ErrOrStderr(), err)
			failed++
		}
	}
	if failed > 0 {
		return errors.Errorf("%d errors", failed)
	}
	return nil
}

// checkFile parses a file as lists if it has list tables, as settings of an entry instance if it has an instance table, and
// as settings of a router otherwise.
func checkFile(name string) (lists.File, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return lists.File{}, errors.Wrap(err, "read file")
	}
	if lists.IsListFile(data) {
		return lists.Parse(name, data)
	}
	if entry.IsSettings(data) {
		_, err = entry.Parse(name, data)
		return lists.File{}, err
	}
	_, err = settings.Parse(name, data)
	return lists.File{}, err
}
