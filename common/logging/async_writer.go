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
	// asyncLines bounds the lines that wait to be written; at 400 bytes a line it is under 1 MB.
	asyncLines = 2048
	// maxLine bounds one line, so that no entry of the store fills the log.
	maxLine = 4 << 10
	// droppedInterval is how often dropped lines are counted in the log.
	droppedInterval = time.Second
)

// AsyncWriter hands lines to a task that writes them, and never blocks: lines that find no room are dropped and counted.
type AsyncWriter struct {
	lines   mailbox.Mailbox[[]byte]
	dropped atomic.Int64
}

// NewAsyncWriter returns a writer whose task must be run.
func NewAsyncWriter() *AsyncWriter {
	return &AsyncWriter{lines: mailbox.New[[]byte](asyncLines)}
}

// Write implements io.Writer.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	kept := line
	if len(kept) > maxLine {
		kept = append(append([]byte(nil), kept[:maxLine]...), '\n')
	} else {
		// The logger uses its buffer again.
		kept = append([]byte(nil), kept...)
	}
	if !w.lines.TrySend(kept) {
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer; lines are written by the task.
func (w *AsyncWriter) Sync() error { return nil }

// Run writes lines until ctx ends and none is left.
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

// drain writes what is left.
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
