package edge

// readAhead bounds the events of a stream that its reader holds.
type readAhead struct {
	events int
	bytes  int64
}

var (
	// directReadAhead is the bound for streams whose events are written to the caller by the relay task.
	directReadAhead = readAhead{events: 64, bytes: 32 << 10}
	// bufferedReadAhead is the bound for streams with a callerOutput, which buffers the events instead. It is one read from the
	// endpoint's connection.
	bufferedReadAhead = readAhead{events: 8, bytes: 4 << 10}
)

// weight returns the number of bytes that an item counts against the bound. An event that is larger than the bound counts as large
// as the bound, so that it is read alone.
func (a readAhead) weight(i streamItem) int64 { return min(int64(len(i.event.Raw)), a.bytes) }
