package config

// NotFoundError reports that an object does not exist.
type NotFoundError struct {
	Ref Ref
}

// Error implements error.
func (e *NotFoundError) Error() string { return e.Ref.String() + " does not exist" }
