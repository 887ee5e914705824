// Package replay generates and reads traces of requests, sends them at their recorded times without waiting for earlier
// answers (open loop), and compares each outcome with the expected one.
package replay
