package exchange

// Stream reads the events of an answer. Next returns io.EOF after a complete stream, and another error when the stream was
// interrupted. It never returns a truncated event.
type Stream interface {
	Next() (Event, error)
}
