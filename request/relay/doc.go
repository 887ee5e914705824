// Package relay brings a chat's answer from its engine to its caller, over retries, resumes and hedges.
package relay
