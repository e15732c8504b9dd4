package exchange

// Event is one event of a stream.
type Event struct {
	ID string
	// Raw holds the bytes of the event, including its framing.
	Raw []byte
}
