// Package settings reads a router's settings file, fills in defaults and checks every field.
package settings
