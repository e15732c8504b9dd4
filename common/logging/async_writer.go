package logging

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"azuredyke.dev/azuredyke/common/mailbox"
)

const (
	// maxPendingLines bounds the lines that wait to be written. At 400 bytes a line they take less than 1 MB.
	maxPendingLines = 2048
	// maxLine bounds the bytes of one line, so that a large store entry does not flood the log.
	maxLine = 4 << 10
	// droppedInterval is the interval at which the number of dropped lines is logged.
	droppedInterval = time.Second
)

// AsyncWriter queues lines for a task that writes them. It never blocks: when the queue is full, lines are dropped and
// counted.
type AsyncWriter struct {
	lines   mailbox.Mailbox[[]byte]
	dropped atomic.Int64
}

// NewAsyncWriter returns a writer. Its lines are written once Run is started.
func NewAsyncWriter() *AsyncWriter {
	return &AsyncWriter{lines: mailbox.New[[]byte](maxPendingLines)}
}

// Write implements io.Writer.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	kept := line
	if len(kept) > maxLine {
		kept = append(append([]byte(nil), kept[:maxLine]...), '\n')
	} else {
		// The logger reuses its buffer, so the line is copied.
		kept = append([]byte(nil), kept...)
	}
	if !w.lines.TrySend(kept) {
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer. It does nothing, because the task writes the lines.
func (w *AsyncWriter) Sync() error { return nil }

// Run writes lines to out until ctx ends, and then writes the queued lines.
func (w *AsyncWriter) Run(ctx context.Context, out io.Writer) {
	tick := time.NewTicker(droppedInterval)
	defer tick.Stop()
	for {
		select {
		case line := <-w.lines.Receive():
			_, _ = out.Write(line)
		case <-tick.C:
			w.reportDropped(out)
		case <-ctx.Done():
			w.drain(out)
			return
		}
	}
}

// drain writes the queued lines.
func (w *AsyncWriter) drain(out io.Writer) {
	for {
		select {
		case line := <-w.lines.Receive():
			_, _ = out.Write(line)
		default:
			w.reportDropped(out)
			return
		}
	}
}

func (w *AsyncWriter) reportDropped(out io.Writer) {
	if n := w.dropped.Swap(0); n > 0 {
		_, _ = fmt.Fprintf(out, "{\"level\":\"warn\",\"msg\":\"log: lines dropped\",\"lines\":%d}\n", n)
	}
}
