package kvserver

import (
	"time"

	"azuredyke.dev/azuredyke/backing"
	"azuredyke.dev/azuredyke/backing/memory"
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

// control runs apply in the task and returns after it has run. It does nothing if Run has ended.
func (s *Server) control(apply func(t *task)) {
	_, _ = mailbox.Call(s.lifetime, s.inbox, func(reply chan<- struct{}) message {
		return controlMessage{apply: apply, reply: reply}
	})
}

// SetOutage starts or ends an outage. When an outage ends, every lease gets its full time to live again, as etcd does
// after a leader election.
func (s *Server) SetOutage(o Outage) {
	s.control(func(t *task) {
		if t.outage != OutageNone && o == OutageNone {
			t.store.ExtendLeases(time.Now())
		}
		t.outage = o
		if o == OutageRefuse {
			t.abortWatches()
		}
	})
}

// SetDelay sets a delay that is added to every call.
func (s *Server) SetDelay(d time.Duration) { s.control(func(t *task) { t.delay = d }) }

// LoseAnswers makes the server apply the next n successful writes, lease calls included, without answering them.
func (s *Server) LoseAnswers(n int, loss AnswerLoss) {
	s.control(func(t *task) { t.answersToLose, t.loss = n, loss })
}

// ExpireLeases expires every lease immediately.
func (s *Server) ExpireLeases() {
	s.control(func(t *task) {
		for _, batch := range t.store.Expire(time.Now().Add(maxTTL)) {
			t.publish(batch)
		}
	})
}

// maxTTL is longer than any lease.
const maxTTL = 365 * 24 * time.Hour

// Counters returns a copy of the counters, or zero counters if Run has ended.
func (s *Server) Counters() Counters {
	var c Counters
	s.control(func(t *task) { c = t.counters.clone() })
	return c
}

// Entries returns the stored entries whose keys start with prefix. It is not counted as a call.
func (s *Server) Entries(prefix string) []backing.Entry {
	var entries []backing.Entry
	s.control(func(t *task) { entries = t.store.Range(prefix).Entries })
	return entries
}

// Snapshot returns a copy of the store.
func (s *Server) Snapshot() *memory.Store {
	var saved *memory.Store
	s.control(func(t *task) { saved = t.store.Clone() })
	return saved
}

// Restore replaces the store with a saved one, including its older revision, and aborts the open watches.
func (s *Server) Restore(saved *memory.Store) {
	s.control(func(t *task) {
		t.store = saved.Clone()
		t.store.ExtendLeases(time.Now())
		t.abortWatches()
	})
}
