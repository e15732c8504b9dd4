package queue

import (
	"math"
	"time"
)

const (
	// rateHalfLife is the busy time after which a served item counts for half.
	rateHalfLife = 10 * time.Second
	// minBusy and minServed are the evidence without which the rate is unknown.
	minBusy   = time.Second
	minServed = 5
)

// rateMeter measures how many items start in a second while others wait. Idle time does not count, since the rate would
// then be that of the arrivals.
type rateMeter struct {
	last         time.Time
	served, busy float64
}

// observe notes that items started at a moment; waiting says whether any waited since the last call.
func (m *rateMeter) observe(now time.Time, started int, waiting bool) {
	if waiting && !m.last.IsZero() {
		elapsed := now.Sub(m.last)
		keep := math.Exp2(-float64(elapsed) / float64(rateHalfLife))
		m.served *= keep
		m.busy = m.busy*keep + elapsed.Seconds()
		m.served += float64(started)
	}
	m.last = now
}

// wait predicts how long n items take to start; the second result is false when the rate is unknown.
func (m *rateMeter) wait(n int) (time.Duration, bool) {
	if m.busy < minBusy.Seconds() || m.served < minServed {
		return 0, false
	}
	return time.Duration(float64(n) / m.served * m.busy * float64(time.Second)), true
}
