package edge

import (
	"context"
	"time"

	"azuredyke.dev/azuredyke/common/exchange"
	"azuredyke.dev/azuredyke/decision/dispatch"
)

// upstream is one attempt at a placed endpoint. It must be ended.
type upstream struct {
	placement dispatch.Placement
	// answer is nil until the endpoint has answered.
	answer *exchange.Answer
	// leaving receives a departure when the run's endpoint or its backup starts to leave.
	leaving <-chan departure
	cancel  context.CancelFunc
	// sentAt is the time at which the request was sent.
	sentAt             time.Time
	placer             placer
	firstEventReported bool
	// record reports the attempt for the counts of a roll-out; nil if there is none.
	record *rolloutRecord
	ended  bool
}

// reportFirstEvent reports, once, that the first event has arrived or the memory was copied: the prompt needs no more
// computation.
func (u *upstream) reportFirstEvent() {
	u.record.event()
	if !u.firstEventReported {
		u.firstEventReported = true
		u.placer.reportFirstEvent(u.placement.Run)
	}
}

// measureAnswer reports what the endpoint stated about its speed, and how long a plain call took.
func (u *upstream) measureAnswer(plain bool, took time.Duration) {
	m := dispatch.Measurement{State: u.answer.Load.Slowdown}
	if u.placement.BySpeed && plain && u.answer.Successful() {
		m.Answer = took
	}
	if m != (dispatch.Measurement{}) {
		u.placer.reportMeasurement(u.placement.Run, m)
	}
}

// end closes the connection, which stops the work at the endpoint, and releases the run.
func (u *upstream) end(o dispatch.Outcome) {
	if u.ended {
		return
	}
	u.ended = true
	u.record.end(o, u.answer)
	u.cancel()
	if u.answer != nil {
		_ = u.answer.Body.Close()
	}
	u.placer.release(u.placement.Run, o)
}
