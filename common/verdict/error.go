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
	// Field names the request field at fault, if there is one.
	Field string
	// RetryAfter is the shortest useful wait before another try; zero gives no advice.
	RetryAfter time.Duration
	// Cause is the underlying error; its text is part of Error.
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

// WithField returns a copy that names the request field at fault.
func (e *Error) WithField(field string) *Error {
	c := *e
	c.Field = field
	return &c
}

// WithRetryAfter returns a copy that advises a wait.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// Of returns the Error in the chain of err. Any other error is wrapped as MayHaveRun, the verdict that promises nothing.
func Of(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return &Error{Verdict: MayHaveRun, Reason: ReasonUnavailable, Cause: err}
}
