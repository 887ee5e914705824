// Package logs creates structured loggers and reads their output. Keys and bodies are never logged.
package logs
