package plainservice

import (
	"time"

	"azuredyke.dev/azuredyke/common/mailbox"
)

// controlMessage changes the state on behalf of a test.
type controlMessage struct {
	apply func(t *task)
	reply chan<- struct{}
}

func (m controlMessage) handle(t *task) {
	m.apply(t)
	m.reply <- struct{}{}
}

// control applies a change and returns once it is in force.
// It reports false when the service has ended.
func (s *Server) control(apply func(t *task)) bool {
	_, err := mailbox.Call(s.life, s.inbox, func(reply chan<- struct{}) message {
		return controlMessage{apply: apply, reply: reply}
	})
	return err == nil
}

// Fail lets the next n calls fail.
func (s *Server) Fail(n int, how Failure) {
	s.control(func(t *task) { t.failures, t.failure = n, how })
}

// Stall answers nothing for a time, without closing connections.
func (s *Server) Stall(d time.Duration) {
	s.control(func(t *task) { t.stalledUntil.Publish(time.Now().Add(d)) })
}

// StartLeaving shows draining in load reports and refuses new calls.
func (s *Server) StartLeaving() { s.control(func(t *task) { t.leaving = true }) }

// Stats returns the counters, also after the end.
func (s *Server) Stats() Stats {
	var stats Stats
	if !s.control(func(t *task) { stats = t.stats.clone() }) {
		return s.final.Load()
	}
	return stats
}
