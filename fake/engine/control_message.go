package engine

import (
	"time"

	"azuredyke.dev/azuredyke/common/mailbox"
)

// controlMessage applies a function to the task's state on behalf of a test.
type controlMessage struct {
	apply func(t *task, now time.Time)
	reply chan<- struct{}
}

func (m controlMessage) handle(t *task) {
	m.apply(t, time.Now())
	m.reply <- struct{}{}
}

// control runs apply in the task and returns after it has run. It returns false if Run has ended.
func (s *Server) control(apply func(t *task, now time.Time)) bool {
	_, err := mailbox.Call(s.lifetime, s.inbox, func(reply chan<- struct{}) message {
		return controlMessage{apply: apply, reply: reply}
	})
	return err == nil
}

// MakeCold makes the engine cold without a restart: its incarnation does not change and its connections stay open.
func (s *Server) MakeCold() {
	s.control(func(t *task, _ time.Time) { t.cold, t.coldCompleted = true, 0 })
}

// StartLeaving sets draining in load reports. The engine refuses new requests once Options.LeaveDelay has passed.
func (s *Server) StartLeaving() {
	s.control(func(t *task, now time.Time) {
		if t.leavingSince.IsZero() {
			t.leavingSince = now
			t.recordLoad(now)
		}
	})
}

// Crash closes all connections. The engine restarts after Options.RestartTime, cold and as a new incarnation.
func (s *Server) Crash() { s.control(func(t *task, now time.Time) { t.crash(now) }) }

// Stall sends nothing on any connection for d and keeps the connections open. Generations continue to run.
func (s *Server) Stall(d time.Duration) {
	s.control(func(t *task, now time.Time) {
		c := t.processState.Load()
		c.stalledUntil = now.Add(d)
		t.processState.Publish(c)
	})
}

// Stats returns the counters. It may also be called after Run has ended.
func (s *Server) Stats() Stats {
	var stats Stats
	if !s.control(func(t *task, _ time.Time) { stats = t.snapshotStats() }) {
		return s.final.Load()
	}
	return stats
}
