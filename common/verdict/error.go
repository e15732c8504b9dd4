package verdict

import (
	"errors"
	"fmt"
	"time"
)

// Error is a refusal or failure that reaches a caller.
type Error struct {
	// Verdict says whether the request may have run.
	Verdict Verdict
	// Reason is the machine-readable cause.
	Reason Reason
	// Field is the name of the invalid request field; it is empty if the error is not about a field.
	Field string
	// RetryAfter is the recommended wait before a retry; zero means no recommendation.
	RetryAfter time.Duration
	// Cause is the underlying error, whose text Error returns.
	Cause error
}

// New returns an error whose message is formatted like fmt.Errorf.
func New(v Verdict, reason Reason, format string, args ...any) *Error {
	return &Error{Verdict: v, Reason: reason, Cause: fmt.Errorf(format, args...)}
}

// Error implements error.
func (e *Error) Error() string {
	if e.Cause == nil {
		return string(e.Reason)
	}
	return e.Cause.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// WithField returns a copy with the name of the invalid request field.
func (e *Error) WithField(field string) *Error {
	c := *e
	c.Field = field
	return &c
}

// WithRetryAfter returns a copy with a recommended wait before a retry.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// Of returns the Error in the chain of err. Any other error is wrapped with the verdict MayHaveRun, since it is not known
// whether the request has run.
func Of(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return &Error{Verdict: MayHaveRun, Reason: ReasonUnavailable, Cause: err}
}
