// Package cost estimates what a request needs of an engine: tokens to read, tokens to write, memory and time. It learns from answers what each route
// needs and how fast engines are, and takes what callers state.
package cost
