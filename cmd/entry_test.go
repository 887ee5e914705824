package cmd

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestWrongSettingsEndTheProcessWithTwo checks the exit code and the one line that names the fault.
func TestWrongSettingsEndTheProcessWithTwo(t *testing.T) {
	tests := []struct{ name, content, want string }{
		{"missing", "", "read settings"},
		{"cut", "[instance]\nname = \"n1", "entry.toml:2"},
		{"wrong type", "[instance]\nname = 5\n", "entry.toml:2"},
		{"without a needed field", "[instance]\nname = \"n1\"\n", "instance.failureDomain"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			file := filepath.Join(t.TempDir(), "entry.toml")
			if tt.content != "" {
				if err := os.WriteFile(file, []byte(tt.content), 0o600); err != nil {
					t.Fatal(err)
				}
			}
			code := -1
			var said bytes.Buffer
			root := newRootCmd(func(c int) { code = c })
			root.cmd.SetErr(&said)
			root.execute(context.Background(), []string{"entry", "--config", file})
			if code != 2 || strings.Count(said.String(), "\n") != 1 || !strings.Contains(said.String(), tt.want) {
				t.Fatalf("exit %d, said %q, want %q", code, said.String(), tt.want)
			}
		})
	}
}
