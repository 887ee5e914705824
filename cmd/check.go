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
		Short: "Checks settings and lists, and names file, line and field of every error",
		Args:  cobra.MinimumNArgs(1),
		RunE:  checkFiles,
	}
	return root
}

// checkFiles checks each file by itself, and then all list files together.
func checkFiles(cmd *cobra.Command, files []string) error {
	var together lists.File
	wrong := 0
	for _, name := range files {
		f, err := checkFile(name)
		if err != nil {
			fmt.Fprintln(cmd.ErrOrStderr(), err)
			wrong++
			continue
		}
		together.Plans = append(together.Plans, f.Plans...)
		together.Allowances = append(together.Allowances, f.Allowances...)
		fmt.Fprintf(cmd.OutOrStdout(), "%s: ok\n", name)
	}
	if len(together.Plans) > 0 && len(together.Allowances) > 0 {
		if err := together.CheckReferences(); err != nil {
			fmt.Fprintln(cmd.ErrOrStderr(), err)
			wrong++
		}
	}
	if wrong > 0 {
		return errors.Errorf("%d errors", wrong)
	}
	return nil
}

// checkFile reads a file as a list where it holds list tables, as settings of an entry instance where it has one, and otherwise as a router's settings.
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
