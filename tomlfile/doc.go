// Package tomlfile decodes TOML strictly and names file, line and field in every error.
package tomlfile
