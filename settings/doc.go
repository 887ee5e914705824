// Package settings reads the settings file of a router, sets defaults and validates every field.
package settings
