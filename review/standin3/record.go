package main

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// record writes the events of a case with the time since its start.
type record struct {
	begin time.Time
	mu    sync.Mutex
	out   io.Writer
}

func newRecord(out io.Writer) *record { return &record{begin: time.Now(), out: out} }

func (r *record) writef(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%8.3f s  %s\n", time.Since(r.begin).Seconds(), fmt.Sprintf(format, args...))
}
