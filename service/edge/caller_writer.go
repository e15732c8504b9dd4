package edge

import "azuredyke.dev/azuredyke/common/exchange"

const (
	// maxWriterParts bounds the parts that were handed to the writer of a stream. They are enough for about a second in which the
	// relay task waits for another endpoint.
	maxWriterParts = 64
	// partOverhead is the memory that a part takes beside its bytes: the headers of slices and the rounding of the allocator.
	partOverhead = 64
)

// callerWriter is the task that writes a stream to its caller. It owns the caller from its start until done is closed.
type callerWriter struct {
	caller exchange.Caller
	// parts is closed after the last part. At most maxWriterParts parts may be unwritten.
	parts chan []byte
	// written receives the size of each part when it was written.
	written chan int64
	// done is closed when the task has ended; err is valid from then on. It is nil if all parts were written.
	done chan struct{}
	err  error
}

// startCallerWriter starts the task. It must be stopped or waited for before the request ends.
func startCallerWriter(caller exchange.Caller) *callerWriter {
	w := &callerWriter{
		caller: caller, parts: make(chan []byte, maxWriterParts), written: make(chan int64, maxWriterParts), done: make(chan struct{}),
	}
	go w.run()
	return w
}

func (w *callerWriter) run() {
	defer close(w.done)
	for part := range w.parts {
		if w.err = w.caller.Write(part); w.err != nil {
			return
		}
		w.written <- partSize(part)
	}
}

// partSize returns the memory that a part takes.
func partSize(part []byte) int64 { return int64(cap(part)) + partOverhead }
