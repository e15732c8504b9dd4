package engine

// sseEvent is one server-sent event.
type sseEvent struct {
	id   string
	data []byte
}
