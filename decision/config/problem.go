package config

import "fmt"

// Problem is one problem found by validation.
type Problem struct {
	Ref Ref
	// Field is the name of the invalid field, or empty for the object as a whole.
	Field   string
	Message string
	// Warning is set for problems that Change.Force overrides.
	Warning bool
}

// String returns the problem in one line.
func (p Problem) String() string {
	if p.Field == "" {
		return fmt.Sprintf("%s: %s", p.Ref, p.Message)
	}
	return fmt.Sprintf("%s: %s: %s", p.Ref, p.Field, p.Message)
}
