package exchange

// Event is one event of a stream.
type Event struct {
	ID string
	// Raw is the event with its framing.
	Raw []byte
}
