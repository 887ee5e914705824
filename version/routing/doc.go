// Package routing holds one version of the operators' configuration: routes, their services, and the keys of organisations.
package routing
