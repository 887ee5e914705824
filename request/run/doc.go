// Package run holds the answers in progress at a home router, so that a lost reader can resume one.
package run
