// Package config holds the two lists in force at one router, each entry with its revision, and compares them with other routers'.
package config
