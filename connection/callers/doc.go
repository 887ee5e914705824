// Package callers serves callers and operators over HTTP: chats, services, addresses, the two lists and the router's state.
package callers
