package edge

// bufferReport is the message by which a stream tells the buffer keeper how many of its granted bytes it keeps and how many it
// wants. Both are zero at its end.
type bufferReport struct {
	stream     uint64
	sequence   uint64
	keep, want int64
	// limits receives the stream's limits. It holds one, and a newer one replaces it.
	limits chan bufferLimit
}
