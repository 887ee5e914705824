// Package service sends calls to plain services and tells calls that were not sent from calls whose answer was lost.
package service
