package edge

// bufferLimit is the message by which the buffer keeper tells a stream how many bytes it may buffer.
type bufferLimit struct {
	// sequence is that of the stream's last report when the limit was decided. A stream that has reported again ignores the limit.
	sequence uint64
	bytes    int64
}
