package queue

import (
	"math"
	"time"
)

const (
	// rateHalfLife is the busy time after which the weight of a served item has halved.
	rateHalfLife = 10 * time.Second
	// minBusy and minServed are the minimum busy time and number of served items from which the rate is known.
	minBusy   = time.Second
	minServed = 5
)

// rateMeter measures the number of items that start per second while others wait. Idle time does not count, because the rate
// would otherwise be that of the arrivals.
type rateMeter struct {
	last                     time.Time
	servedItems, busySeconds float64
}

// observe records that items started at the given time. The waiting argument is true if any items have waited since the last
// call.
func (m *rateMeter) observe(now time.Time, started int, waiting bool) {
	if waiting && !m.last.IsZero() {
		elapsed := now.Sub(m.last)
		decay := math.Exp2(-float64(elapsed) / float64(rateHalfLife))
		m.servedItems *= decay
		m.busySeconds = m.busySeconds*decay + elapsed.Seconds()
		m.servedItems += float64(started)
	}
	m.last = now
}

// predictWait returns the predicted time until n items have started; the second result is false if the rate is unknown.
func (m *rateMeter) predictWait(n int) (time.Duration, bool) {
	if m.busySeconds < minBusy.Seconds() || m.servedItems < minServed {
		return 0, false
	}
	return time.Duration(float64(n) / m.servedItems * m.busySeconds * float64(time.Second)), true
}
