package cmd

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"
	"github.com/vanillaroute/vanillaroute/platform"
	"github.com/vanillaroute/vanillaroute/process/entry"
	"github.com/vanillaroute/vanillaroute/settings"
	"github.com/vanillaroute/vanillaroute/version/lists"
)

// Exit codes of configurations.
const (
	codeWarnings = 1
	codeErrors   = 2
)

type (
	checkCmd struct {
		cmd    *cobra.Command
		asJSON bool
		strict bool
		// against is the file of the version in force, or "" if there is no comparison.
		against string
		// code is the exit code of the configurations that were checked.
		code int
	}

	// exitError means that the process ends with the code.
	exitError struct {
		code  int
		cause error
	}
)

var errNoConfiguration = errors.New("only configurations (JSON) can be compared")

// Error returns the message of the cause.
func (e *exitError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *exitError) Unwrap() error { return e.cause }

func newCheckCmd() *checkCmd {
	root := &checkCmd{}
	root.cmd = &cobra.Command{
		Use:   "check FILE…",
		Short: "Checks settings, lists and configurations, and reports file, line and field of every error",
		Long: "Checks settings, lists (TOML) and configurations of the platform (JSON). With a configuration, the exit code is 2 for errors\n" +
			"and 1 for warnings with --strict.",
		Args: cobra.MinimumNArgs(1),
		RunE: root.run,
	}
	root.cmd.Flags().BoolVar(&root.asJSON, "json", false, "print the findings of configurations as JSON, one a line")
	root.cmd.Flags().StringVar(&root.against, "against", "", "file of the configuration in force; reports what differs")
	root.cmd.Flags().BoolVar(&root.strict, "strict", false, "exit with 1 if a configuration has warnings")
	return root
}

// run checks each file on its own and then the references between all list files. It returns an error if any check fails.
func (c *checkCmd) run(cmd *cobra.Command, files []string) error {
	if c.against != "" && len(files) != 1 {
		return &exitError{codeErrors, errors.New("--against compares one configuration")}
	}
	var merged lists.File
	failed, hasAllowances := 0, false
	for _, name := range files {
		data, err := os.ReadFile(name)
		if err == nil && isConfiguration(name, data) {
			if err := c.checkConfiguration(cmd, name, data); err != nil {
				return err
			}
			continue
		}
		if c.against != "" || (err != nil && filepath.Ext(name) == ".json") {
			return &exitError{codeErrors, errors.Wrapf(cmp.Or(err, errNoConfiguration), "check %s", name)}
		}
		f, err := checkFile(name, data, err)
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
	if c.code > 0 {
		return &exitError{c.code, errors.New("the configuration has errors, or warnings with --strict")}
	}
	if failed > 0 {
		return errors.Errorf("%d errors", failed)
	}
	return nil
}

// isConfiguration reports whether the file is a configuration of the platform. No TOML file begins with a brace.
func isConfiguration(name string, data []byte) bool {
	return filepath.Ext(name) == ".json" || bytes.HasPrefix(bytes.TrimSpace(data), []byte("{"))
}

// checkConfiguration prints the findings of a configuration and sets the exit code.
func (c *checkCmd) checkConfiguration(cmd *cobra.Command, name string, data []byte) error {
	checked := platform.Check(data)
	if c.against != "" {
		inForce, err := os.ReadFile(c.against)
		if err != nil {
			return &exitError{codeErrors, errors.Wrap(err, "read version in force")}
		}
		checked.Against(inForce)
	}
	hasErrors, hasWarnings := checked.Worst()
	switch {
	case hasErrors:
		c.code = codeErrors
	case hasWarnings && c.strict:
		c.code = max(c.code, codeWarnings)
	}
	for _, f := range checked.Findings {
		if !c.asJSON {
			fmt.Fprintf(cmd.OutOrStdout(), "%s:%s\n", name, f)
			continue
		}
		line, err := json.Marshal(struct {
			File string `json:"file"`
			platform.Finding
		}{name, f})
		if err != nil {
			return errors.Wrap(err, "write finding")
		}
		fmt.Fprintln(cmd.OutOrStdout(), string(line))
	}
	if !hasErrors && !hasWarnings && !c.asJSON {
		fmt.Fprintf(cmd.OutOrStdout(), "%s: ok\n", name)
	}
	return nil
}

// checkFile parses a file as lists if it has list tables, as settings of an entry instance if it has an instance table, and
// as settings of a router otherwise.
func checkFile(name string, data []byte, err error) (lists.File, error) {
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
