package edge

import (
	"fmt"
	"io"
	"strings"
	"sync/atomic"
	"time"

	"azuredyke.dev/azuredyke/common/exchange"
)

// numberedStream sends numbered events of 400 bytes at a fixed interval and then ends with err.
type numberedStream struct {
	events   int
	interval time.Duration
	err      error
	// sent is the number of events that were read, and endedAt the time at which the end was read.
	sent    atomic.Int64
	endedAt time.Time
}

func newNumberedStream(events int, interval time.Duration) *numberedStream {
	return &numberedStream{events: events, interval: interval, err: io.EOF}
}

func (s *numberedStream) Next() (exchange.Event, error) {
	if s.read() == s.events {
		s.endedAt = time.Now()
		return exchange.Event{}, s.err
	}
	time.Sleep(s.interval)
	n := int(s.sent.Add(1))
	return exchange.Event{ID: fmt.Sprint(n), Raw: []byte(numberedEvent(n))}, nil
}

// read returns the number of events that were read.
func (s *numberedStream) read() int { return int(s.sent.Load()) }

func numberedEvent(n int) string {
	return fmt.Sprintf("id: %d\ndata: %s\n\n", n, strings.Repeat("x", 380))
}

// numberedBody returns the body with the first events.
func numberedBody(events int) string {
	var body strings.Builder
	for n := range events {
		body.WriteString(numberedEvent(n + 1))
	}
	return body.String()
}
