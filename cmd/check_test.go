package cmd

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
)

// runCommand runs the command line and returns its output, which includes standard error, and its exit code.
func runCommand(t *testing.T, args ...string) (string, int) {
	t.Helper()
	code := -1
	root := newRootCmd(func(c int) { code = c })
	var out bytes.Buffer
	root.cmd.SetOut(&out)
	root.cmd.SetErr(&out)
	root.execute(t.Context(), args)
	return out.String(), code
}

func TestExamplesAreValid(t *testing.T) {
	for _, site := range []string{"museum", "trust"} {
		files, err := filepath.Glob("../examples/" + site + "/*.toml")
		if err != nil || len(files) != 3 {
			t.Fatalf("%s: %v, %v", site, files, err)
		}
		if out, code := runCommand(t, append([]string{"check"}, files...)...); code != 0 {
			t.Errorf("%s: exit %d: %s", site, code, out)
		}
	}
}

func TestCheckNamesFileLineAndField(t *testing.T) {
	good, err := os.ReadFile("../examples/museum/router.toml")
	if err != nil {
		t.Fatal(err)
	}
	lists := "[[plan]]\norganisation = \"a\"\nplan = \"p\"\n"
	allowance := "[[allowance]]\nplan = \"p\"\n"
	tests := []struct {
		name, old, new, list string
	}{
		{name: "unknownKey", old: "longShare", new: "longShares"},
		{name: "wrongUnit", old: `"10s"`, new: `"10 seconds"`},
		{name: "noUnit", old: `addressValidity = "10s"`, new: `addressValidity = 10`},
		{name: "domainName", old: `"10.1.0.2:2379"`, new: `"store.example:2379"`},
		{name: "missingFailureDomain", old: `failureDomain = "brest"`, new: ""},
		{name: "boundBelowOne", old: "loadBound = 1.25", new: "loadBound = 0.5"},
		{name: "shortHash", old: "2c26b46b", new: ""},
		{name: "doubleClass", old: `name = "kiosk"`, new: `name = "label"`},
		{name: "doubleOrganisation", list: lists + "\n" + lists},
		{name: "noPlan", list: "[[plan]]\norganisation = \"a\"\n"},
		{name: "plainKey", list: lists + "keyHashes = [\"vk-secret\"]\n"},
		{name: "negativeRate", list: allowance + "requestsPerSecond = -1.0\n"},
		{name: "planWithoutAllowance", list: lists + "[[allowance]]\nplan = \"q\"\n"},
		{name: "brokenFile", list: lists + "plan = [\n"},
	}
	g := goldie.New(t)
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			text := tt.list
			if text == "" {
				text = strings.Replace(string(good), tt.old, tt.new, 1)
			}
			dir := t.TempDir()
			file := filepath.Join(dir, "file.toml")
			if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
				t.Fatal(err)
			}
			out, code := runCommand(t, "check", file)
			if code != 1 {
				t.Errorf("exit %d, want 1", code)
			}
			g.Assert(t, tt.name, []byte(strings.ReplaceAll(out, dir+string(filepath.Separator), "")))
		})
	}
}

// TestEmptyListFilesAreChecked guards against taking a list file without entries for a settings file, and an empty list for an absent one.
func TestEmptyListFilesAreChecked(t *testing.T) {
	const plan = "[[plan]]\norganisation = \"a\"\nplan = \"p\"\n"
	tests := []struct {
		name  string
		files []string
		code  int
	}{
		{"all entries removed", []string{"revision = 7\n"}, 0},
		{"empty plans", []string{"revision = 7\nplan = []\n"}, 0},
		{"empty allowances", []string{"allowance = []\n"}, 0},
		{"plans without allowances to check against", []string{plan}, 0},
		{"plan and empty allowances", []string{plan, "revision = 7\nallowance = []\n"}, 1},
		{"plan and empty allowances in one file", []string{"allowance = []\n" + plan}, 1},
		{"no content", []string{""}, 1},
		{"unknown key", []string{"revision = 7\nplans = []\n"}, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			args := []string{"check"}
			for i, text := range tt.files {
				file := filepath.Join(t.TempDir(), fmt.Sprint("file", i, ".toml"))
				if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
					t.Fatal(err)
				}
				args = append(args, file)
			}
			if out, code := runCommand(t, args...); code != tt.code {
				t.Errorf("exit %d, want %d: %s", code, tt.code, out)
			}
		})
	}
}
