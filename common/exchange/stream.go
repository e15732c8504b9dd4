package exchange

// Stream reads the events of an answer. Next returns io.EOF after the end of a whole stream, and another error when it
// broke off; an event that was cut is never returned.
type Stream interface {
	Next() (Event, error)
}
