package soak

// event is one server-sent event as the caller received it.
type event struct {
	id, data string
}
