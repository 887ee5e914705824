// Package tomlfile decodes TOML strictly and reports the file, line and field of every error.
package tomlfile
