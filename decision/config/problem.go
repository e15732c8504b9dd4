package config

import "fmt"

// Problem is one finding of validation.
type Problem struct {
	Ref Ref
	// Field is the name of the field at fault.
	Field   string
	Message string
	// Warning is set for findings that Change.Force overrides.
	Warning bool
}

// String returns the finding in one line.
func (p Problem) String() string {
	if p.Field == "" {
		return fmt.Sprintf("%s: %s", p.Ref, p.Message)
	}
	return fmt.Sprintf("%s: %s: %s", p.Ref, p.Field, p.Message)
}
