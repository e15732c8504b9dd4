package engine

import (
	"fmt"
	"net/http"
)

// Failure says how far a request came before it failed.
type Failure struct {
	// Sent is set once a byte of the request may have left this process.
	Sent bool
	// Status is the HTTP status of the answer, 0 when there was none.
	Status int
	// Body is the answer's body for statuses other than 200, up to a bound.
	Body []byte
	// Refused is the endpoint's value of HeaderRefused, empty when it did not refuse.
	Refused string
	// Err is the cause.
	Err error
}

// Error implements error.
func (f *Failure) Error() string {
	switch {
	case f.Refused != "":
		return "endpoint refused: " + f.Refused
	case f.Status != 0 && f.Status != http.StatusOK:
		return fmt.Sprintf("endpoint answered %d", f.Status)
	default:
		return f.Err.Error()
	}
}

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Err }

// NotRun reports whether the endpoint certainly did not run the request.
func (f *Failure) NotRun() bool { return !f.Sent || f.Refused != "" }
