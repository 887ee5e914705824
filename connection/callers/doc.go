// Package callers is the HTTP interface of a router for callers and operators: chats, services, addresses, the lists of plans and
// allowances, and the router's status.
package callers
