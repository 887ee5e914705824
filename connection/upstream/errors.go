package upstream

import "fmt"

type (
	// NotSentError says that no byte of the request reached the engine.
	NotSentError struct{ Cause error }

	// LostError says that the request was sent and that its answer did not come, or not whole; it may have run.
	LostError struct{ Cause error }
)

// Error names the cause.
func (e *NotSentError) Error() string { return fmt.Sprintf("not sent: %s", e.Cause) }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// Error names the cause.
func (e *LostError) Error() string { return fmt.Sprintf("answer lost: %s", e.Cause) }

// Unwrap returns the cause.
func (e *LostError) Unwrap() error { return e.Cause }
