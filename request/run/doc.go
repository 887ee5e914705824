// Package run holds the answers in progress at a home router, so that a reader that lost its connection can resume.
package run
