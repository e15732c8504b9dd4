package config

import (
	"fmt"
	"regexp"
)

const (
	// MaxReasonBytes bounds the reason of a change.
	MaxReasonBytes = 1024
	// MaxOperationIDBytes bounds an operation id.
	MaxOperationIDBytes = 128
)

// operationIDPattern matches valid operation ids, which are parts of stored keys.
var operationIDPattern = regexp.MustCompile(fmt.Sprintf(`^[!-~]{1,%d}$`, MaxOperationIDBytes))

// CheckChange validates the parts of a change that do not depend on the configuration. The error is an *InvalidError.
func CheckChange(c Change) error {
	var problems []Problem
	if !operationIDPattern.MatchString(c.OperationID) {
		problems = append(problems, Problem{
			Ref: c.Ref, Field: "operation_id",
			Message: fmt.Sprintf("must be from 1 to %d printable characters without spaces", MaxOperationIDBytes),
		})
	}
	if c.Reason == "" || len(c.Reason) > MaxReasonBytes {
		problems = append(problems, Problem{
			Ref: c.Ref, Field: "reason", Message: fmt.Sprintf("must be from 1 to %d bytes", MaxReasonBytes),
		})
	}
	if !namePattern.MatchString(c.Ref.Name) {
		problems = append(problems, Problem{Ref: Ref{Kind: c.Ref.Kind}, Field: "name", Message: nameMessage})
	}
	if len(problems) > 0 {
		return &InvalidError{Problems: problems}
	}
	return nil
}
