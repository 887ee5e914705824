// Package cmd implements the command line, with one file and one constructor per command.
package cmd
