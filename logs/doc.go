// Package logs makes the structured logger; neither keys nor bodies are ever logged.
package logs
