package cmd

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/user"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/pkg/errors"
	"github.com/spf13/cobra"
	"github.com/vanillaroute/vanillaroute/connection/callers"
	"github.com/vanillaroute/vanillaroute/ident"
	"github.com/vanillaroute/vanillaroute/tomlfile"
	"github.com/vanillaroute/vanillaroute/version/apply"
	"github.com/vanillaroute/vanillaroute/version/lists"
)

const statusPollInterval = 100 * time.Millisecond

type (
	// listKind is one of the two lists, with its command name, its table in list files and its key prefix in the store.
	listKind struct {
		name   string
		table  string
		prefix string
	}

	listCmd struct {
		cmd      *cobra.Command
		client   operatorClient
		kind     listKind
		operator string
		wait     bool
	}
)

var (
	planList      = listKind{name: "plans", table: "plan", prefix: lists.PlanPrefix}
	allowanceList = listKind{name: "allowances", table: "allowance", prefix: lists.AllowancePrefix}
)

func newListCmd(kind listKind) *listCmd {
	root := &listCmd{kind: kind}
	root.cmd = &cobra.Command{Use: kind.name, Short: "Reads and changes the list of " + kind.name}
	root.client.addFlags(root.cmd)
	get := &cobra.Command{
		Use:   "get",
		Short: "Prints the active list, for editing and applying",
		Args:  cobra.NoArgs,
		RunE:  func(cmd *cobra.Command, _ []string) error { return root.get(cmd.Context(), cmd.OutOrStdout()) },
	}
	applyList := &cobra.Command{
		Use:   "apply FILE",
		Short: "Commits the differences to the active list; fails if another operator has changed the same entries in the meantime",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return root.apply(cmd.Context(), cmd.OutOrStdout(), args[0])
		},
	}
	applyList.Flags().StringVar(&root.operator, "operator", currentUserName(), "operator name to record with the change")
	applyList.Flags().BoolVar(&root.wait, "wait", false, "wait until the change is active on every live router")
	root.cmd.AddCommand(get, applyList)
	return root
}

func (l *listCmd) get(ctx context.Context, out io.Writer) error {
	var body callers.ListsBody
	if _, err := l.client.call(ctx, http.MethodGet, "/admin/lists", nil, &body); err != nil {
		return err
	}
	var f lists.File
	f.Revision = body.Revision
	for _, e := range body.Entries {
		plan, allowance, err := lists.DecodeValue(e.Key, e.Value)
		switch {
		case err != nil || !strings.HasPrefix(e.Key, l.kind.prefix):
		case plan != nil:
			plan.ReadContentHash = lists.ContentHash(*plan)
			f.Plans = append(f.Plans, *plan)
		default:
			allowance.ReadContentHash = lists.ContentHash(*allowance)
			f.Allowances = append(f.Allowances, *allowance)
		}
	}
	text, err := toml.Marshal(f)
	if err != nil {
		return errors.Wrap(err, "encode list")
	}
	if len(f.Plans)+len(f.Allowances) == 0 {
		text = fmt.Appendf(text, "%s = []\n", l.kind.table)
	}
	_, err = io.Copy(out, bytes.NewReader(text))
	return errors.Wrap(err, "write list")
}

func (l *listCmd) apply(ctx context.Context, out io.Writer, file string) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return errors.Wrap(err, "read list")
	}
	f, err := lists.Parse(file, data)
	if err != nil {
		return err
	}
	if err := l.checkHeld(file, f); err != nil {
		return err
	}
	request, err := l.request(f)
	if err != nil {
		return err
	}
	var body callers.ApplyBody
	status, err := l.client.call(ctx, http.MethodPost, "/admin/lists", request, &body, http.StatusConflict)
	if err != nil {
		return err
	}
	for _, key := range body.Changed {
		fmt.Fprintln(out, "changed:", key)
	}
	for _, c := range body.Conflicts {
		fmt.Fprintf(out, "conflict: %s was changed by %q at revision %d to %s\n", c.Key, c.ChangedBy, c.Revision, c.Value)
	}
	if status == http.StatusConflict {
		return errors.New("another operator changed the list; get it again")
	}
	fmt.Fprintln(out, "revision:", body.Revision)
	if l.wait {
		return l.awaitApplied(ctx, body.Revision)
	}
	return nil
}

// checkHeld fails with a *tomlfile.FieldError if the file holds the other list only. Applying it would delete every entry of this one.
func (l *listCmd) checkHeld(file string, f lists.File) error {
	held, otherHeld := f.Plans != nil, f.Allowances != nil
	if l.kind == allowanceList {
		held, otherHeld = otherHeld, held
	}
	if held || !otherHeld {
		return nil
	}
	expected := fmt.Sprintf("expected the list of %s, but the file holds the other list; an empty list is written \"%s = []\"", l.kind.name, l.kind.table)
	return &tomlfile.FieldError{File: file, Line: 1, Field: l.kind.table, Expected: expected}
}

func (l *listCmd) request(f lists.File) (apply.Request, error) {
	r := apply.Request{Prefix: l.kind.prefix, Base: f.Revision, Operator: l.operator}
	add := func(key, readContentHash string, v any) error {
		value, err := json.Marshal(v)
		r.Entries = append(r.Entries, apply.Entry{Key: key, Value: value, Unchanged: readContentHash == lists.ContentHash(v)})
		return errors.Wrap(err, "encode entry")
	}
	if l.kind == planList {
		for _, p := range f.Plans {
			if err := add(p.Key(), p.ReadContentHash, p); err != nil {
				return r, err
			}
		}
		return r, nil
	}
	for _, a := range f.Allowances {
		if err := add(a.Key(), a.ReadContentHash, a); err != nil {
			return r, err
		}
	}
	return r, nil
}

// awaitApplied waits until every live router has applied the revision or a later one and all have the same entries. It returns an
// error after clientTimeout.
func (l *listCmd) awaitApplied(ctx context.Context, revision ident.Revision) error {
	ctx, cancel := context.WithTimeout(ctx, clientTimeout)
	defer cancel()
	for {
		var body callers.StatusBody
		if _, err := l.client.call(ctx, http.MethodGet, "/admin/status", nil, &body); err != nil {
			return err
		}
		if isAppliedEverywhere(body, revision) {
			return nil
		}
		select {
		case <-time.After(statusPollInterval):
		case <-ctx.Done():
			return errors.New("the change is committed, but did not become active on every router in time")
		}
	}
}

func isAppliedEverywhere(body callers.StatusBody, revision ident.Revision) bool {
	for _, r := range body.Routers {
		if r.Revision < revision || r.Sum != body.Routers[0].Sum {
			return false
		}
	}
	return len(body.Routers) > 0
}

func currentUserName() string {
	u, err := user.Current()
	if err != nil {
		return "operator"
	}
	return u.Username
}
