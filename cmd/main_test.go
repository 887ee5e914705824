package cmd

import (
	"os"
	"testing"
)

// runVariable makes the test binary behave as the program, for tests that need separate processes.
const runVariable = "VANILLAROUTE_TEST_RUN"

func TestMain(m *testing.M) {
	if os.Getenv(runVariable) != "" {
		Execute(os.Exit, os.Args[1:])
		return
	}
	os.Exit(m.Run())
}
