package buffer

// Grant tells a stream how many bytes it may buffer from now on.
type Grant struct {
	Stream uint64
	// Bytes is the limit. A stream that buffers more stops reading from its endpoint until its caller has read enough.
	Bytes int64
}
