// Package config holds the plans and allowances in force at one router, each entry with its revision, and compares them with those of
// other routers.
package config
