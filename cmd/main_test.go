package cmd

import (
	"os"
	"testing"
)

// runEnv is the environment variable that makes the test binary run the command line, for tests that start processes.
const runEnv = "VANILLAROUTE_TEST_RUN"

func TestMain(m *testing.M) {
	if os.Getenv(runEnv) != "" {
		Execute(os.Exit, os.Args[1:])
		return
	}
	os.Exit(m.Run())
}
