// Package cmd holds the command line: one file and one constructor for each command.
package cmd
