package edge

import "fmt"

// explainError is the answer to a request that can't be explained.
type explainError struct {
	status  int
	message string
}

func newExplainError(status int, format string, args ...any) *explainError {
	return &explainError{status: status, message: fmt.Sprintf(format, args...)}
}
