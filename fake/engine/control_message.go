package engine

import (
	"time"

	"azuredyke.dev/azuredyke/common/mailbox"
)

// controlMessage changes the state on behalf of a test.
type controlMessage struct {
	apply func(t *task, now time.Time)
	reply chan<- struct{}
}

func (m controlMessage) handle(t *task) {
	m.apply(t, time.Now())
	m.reply <- struct{}{}
}

// control applies a change and returns once it is in force.
// It reports false when the engine has ended.
func (s *Server) control(apply func(t *task, now time.Time)) bool {
	_, err := mailbox.Call(s.life, s.inbox, func(reply chan<- struct{}) message {
		return controlMessage{apply: apply, reply: reply}
	})
	return err == nil
}

// TurnCold makes the engine cold without a sign: its incarnation and its connections stay.
func (s *Server) TurnCold() {
	s.control(func(t *task, _ time.Time) { t.cold, t.coldCompleted = true, 0 })
}

// StartLeaving shows draining in load reports, and refuses new requests after the leave delay.
func (s *Server) StartLeaving() {
	s.control(func(t *task, now time.Time) {
		if t.leavingSince.IsZero() {
			t.leavingSince = now
			t.takeReport(now)
		}
	})
}

// Crash closes all connections. The engine comes back after the restart time, cold and as a new incarnation.
func (s *Server) Crash() { s.control(func(t *task, now time.Time) { t.crash(now) }) }

// Stall stops everything that is sent for a time, without closing connections. Generations run on.
func (s *Server) Stall(d time.Duration) {
	s.control(func(t *task, now time.Time) {
		c := t.outside.Load()
		c.stalledUntil = now.Add(d)
		t.outside.Publish(c)
	})
}

// Stats returns the counters, also after the end.
func (s *Server) Stats() Stats {
	var stats Stats
	if !s.control(func(t *task, _ time.Time) { stats = t.snapshotStats() }) {
		return s.final.Load()
	}
	return stats
}
