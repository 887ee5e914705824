package cmd

import (
	"os"
	"testing"
)

// runEnv makes the test binary behave as the program, for tests that need separate processes.
const runEnv = "VANILLAROUTE_TEST_RUN"

func TestMain(m *testing.M) {
	if os.Getenv(runEnv) != "" {
		Execute(os.Exit, os.Args[1:])
		return
	}
	os.Exit(m.Run())
}
