package edge

import (
	"time"

	"azuredyke.dev/azuredyke/decision/dispatch"
)

// measureInterval is the time after which the times between events of a run are reported. It is short against the half-life of the
// learnt speed, and adds two messages per second and stream to those of the dispatcher.
const measureInterval = 500 * time.Millisecond

// runTimer measures the times between the events of a run when they are read from the endpoint. It belongs to the task of the stream.
// The zero value measures nothing.
type runTimer struct {
	up *upstream
	// resumed is set if the endpoint computes earlier events again before it sends the first one.
	resumed bool
	// lastAt is the time of the last event, elapsed and events the time and number of the events since the last report.
	lastAt  time.Time
	elapsed time.Duration
	events  int
	// ignoreUntil is set after an event that was read late: the events that arrived meanwhile are then read without any pause.
	ignoreUntil time.Time
}

// start begins to measure the events of an attempt, after reporting those of the one before.
func (t *runTimer) start(up *upstream, resumed bool) {
	t.report()
	*t = runTimer{resumed: resumed}
	if up.placement.BySpeed {
		t.up = up
	}
}

// observe measures an event. Times near an event that was read late for a slow caller say nothing about the endpoint.
func (t *runTimer) observe(item streamItem) {
	if t.up == nil || item.err != nil {
		return
	}
	switch {
	case item.late:
		t.elapsed, t.events, t.ignoreUntil = 0, 0, item.readAt.Add(measureInterval)
	case t.lastAt.IsZero() && t.resumed:
	case t.lastAt.IsZero():
		t.up.placer.reportMeasurement(t.up.placement.Run, dispatch.Measurement{FirstEvent: item.readAt.Sub(t.up.sentAt)})
	case !item.readAt.Before(t.ignoreUntil):
		t.elapsed += item.readAt.Sub(t.lastAt)
		t.events++
	}
	t.lastAt = item.readAt
	if t.elapsed >= measureInterval {
		t.report()
	}
}

// report sends what was measured since the last report.
func (t *runTimer) report() {
	if t.up == nil || t.up.ended || t.events == 0 {
		return
	}
	t.up.placer.reportMeasurement(t.up.placement.Run, dispatch.Measurement{Events: t.events, Elapsed: t.elapsed})
	t.elapsed, t.events = 0, 0
}
