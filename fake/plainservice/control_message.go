package plainservice

import (
	"time"

	"azuredyke.dev/azuredyke/common/mailbox"
)

// controlMessage applies a function to the task's state on behalf of a test.
type controlMessage struct {
	apply func(t *task)
	reply chan<- struct{}
}

func (m controlMessage) handle(t *task) {
	m.apply(t)
	m.reply <- struct{}{}
}

// control runs apply in the task and returns after it has run. It returns false if Run has ended.
func (s *Server) control(apply func(t *task)) bool {
	_, err := mailbox.Call(s.lifetime, s.inbox, func(reply chan<- struct{}) message {
		return controlMessage{apply: apply, reply: reply}
	})
	return err == nil
}

// Fail makes the next n calls fail, except those that are refused.
func (s *Server) Fail(n int, how Failure) {
	s.control(func(t *task) { t.failuresLeft, t.failure = n, how })
}

// Stall sends no answers for d and keeps connections open.
func (s *Server) Stall(d time.Duration) {
	s.control(func(t *task) { t.stalledUntil.Publish(time.Now().Add(d)) })
}

// StartLeaving sets draining in load reports and refuses new calls.
func (s *Server) StartLeaving() { s.control(func(t *task) { t.leaving = true }) }

// Stats returns the counters. It may also be called after Run has ended.
func (s *Server) Stats() Stats {
	var stats Stats
	if !s.control(func(t *task) { stats = t.stats.clone() }) {
		return s.final.Load()
	}
	return stats
}
