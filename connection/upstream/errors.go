package upstream

import "fmt"

type (
	// NotSentError is returned if no connection could be made, so that no byte of the request was sent.
	NotSentError struct{ Cause error }

	// WithheldError is the cause of a *NotSentError if MaySend did not allow a request although there was a connection to Address.
	WithheldError struct{ Address string }

	// FullError is the cause of a *NotSentError if all connections to Address that Bound allows are in use. The engine has not failed.
	FullError struct {
		Address string
		Bound   int
	}

	// LostError is returned if the request may have been sent but the header of its answer could not be read. The request may have run.
	LostError struct{ Cause error }
)

// Error returns the message with the cause.
func (e *NotSentError) Error() string { return fmt.Sprintf("not sent: %s", e.Cause) }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// Error returns the message with the cause.
func (e *LostError) Error() string { return fmt.Sprintf("answer lost: %s", e.Cause) }

// Unwrap returns the cause.
func (e *LostError) Unwrap() error { return e.Cause }

// Error returns the message with the address.
func (e *WithheldError) Error() string {
	return fmt.Sprintf("the request may no longer be sent to %s", e.Address)
}

// Error returns the message with the address and the bound.
func (e *FullError) Error() string {
	return fmt.Sprintf("all %d connections to %s are in use", e.Bound, e.Address)
}
