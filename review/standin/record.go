package main

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// record writes what was sent, answered and run, with the seconds since the start. It is safe for concurrent use.
type record struct {
	mu    sync.Mutex
	start time.Time
	out   io.Writer
}

func newRecord(out io.Writer) *record { return &record{start: time.Now(), out: out} }

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// since returns the seconds between the start and a time.
func (r *record) since(t time.Time) string { return fmt.Sprintf("%.3f s", t.Sub(r.start).Seconds()) }
