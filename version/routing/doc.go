// Package routing holds one version of the operators' configuration: routes, services and the keys of organisations.
package routing
