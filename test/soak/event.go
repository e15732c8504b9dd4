package soak

// event is one event of a stream as the caller got it.
type event struct {
	id, data string
}
