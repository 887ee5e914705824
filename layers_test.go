package main

import (
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
)

const module = "github.com/vanillaroute/vanillaroute/"

// TestLayersImportDownwards checks that no package imports a package of a higher layer, and that no package of these layers
// imports a stand-in. docs/ARCHITECTURE.md gives the reasons.
func TestLayersImportDownwards(t *testing.T) {
	tests := []struct {
		layer     string
		forbidden []string
	}{
		{"version/", []string{"request/", "connection/", "process/"}},
		{"request/", []string{"process/", "cmd", "platform"}},
		{"connection/", []string{"process/", "cmd", "platform"}},
		{"process/", []string{"cmd", "platform"}},
		{"replay", []string{"process/", "cmd", "platform"}},
	}
	files := 0
	err := filepath.WalkDir(".", func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		files++
		parsed, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
		if err != nil {
			return err
		}
		for _, tt := range tests {
			if !strings.HasPrefix(path, tt.layer) {
				continue
			}
			for _, i := range parsed.Imports {
				name, err := strconv.Unquote(i.Path.Value)
				if err != nil {
					return err
				}
				for _, f := range append(tt.forbidden, "standin/", "platform/standin") {
					if strings.HasPrefix(name, module+f) {
						t.Errorf("%s imports %s", path, name)
					}
				}
			}
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	if files == 0 {
		t.Fatal("no file was read")
	}
}
