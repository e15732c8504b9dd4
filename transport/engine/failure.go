package engine

import (
	"fmt"
	"net/http"
)

// Failure is the error of a request. It records whether the request was sent and how the endpoint answered.
type Failure struct {
	// Sent is set once a byte of the request may have left this process.
	Sent bool
	// Status is the HTTP status of the answer, or 0 if there was none.
	Status int
	// Body is the body of an answer with a status other than 200, up to maxErrorBodyBytes.
	Body []byte
	// Refused is the value of HeaderRefused in the answer. It is empty if the endpoint did not refuse the request.
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

// NotRun reports whether it is certain that the endpoint did not run the request.
func (f *Failure) NotRun() bool { return !f.Sent || f.Refused != "" }
