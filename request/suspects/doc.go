// Package suspects holds the evidence on what crashes engines: whole requests, and parts of prompts, whatever else the requests contain. Instances
// exchange it, so that no request crashes more than two engines unless several run it at once.
package suspects
