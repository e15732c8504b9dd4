package kvserver

import (
	"time"

	"azuredyke.dev/azuredyke/backing"
	"azuredyke.dev/azuredyke/backing/memory"
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
func (s *Server) control(apply func(t *task)) {
	_, _ = mailbox.Call(s.life, s.inbox, func(reply chan<- struct{}) message {
		return controlMessage{apply: apply, reply: reply}
	})
}

// SetOutage starts or ends an outage. At its end every lease has its whole time to live, as after the election of a
// leader of the published server.
func (s *Server) SetOutage(o Outage) {
	s.control(func(t *task) {
		if t.outage != OutageNone && o == OutageNone {
			t.store.ExtendLeases(time.Now())
		}
		t.outage = o
		if o == OutageRefuse {
			t.breakWatches()
		}
	})
}

// SetDelay delays every call.
func (s *Server) SetDelay(d time.Duration) { s.control(func(t *task) { t.delay = d }) }

// LoseAnswers applies the next n writes, lease calls included, but loses their answers.
func (s *Server) LoseAnswers(n int, how Loss) {
	s.control(func(t *task) { t.losses, t.loss = n, how })
}

// ExpireLeases lets every lease lapse at once.
func (s *Server) ExpireLeases() {
	s.control(func(t *task) {
		for _, batch := range t.store.Expire(time.Now().Add(maxTTL)) {
			t.publish(batch)
		}
	})
}

// maxTTL is longer than any lease.
const maxTTL = 365 * 24 * time.Hour

// Counters returns the counters.
func (s *Server) Counters() Counters {
	var c Counters
	s.control(func(t *task) { c = t.counters.clone() })
	return c
}

// Entries returns the stored entries whose keys start with prefix. It is not a call and is not counted.
func (s *Server) Entries(prefix string) []backing.Entry {
	var entries []backing.Entry
	s.control(func(t *task) { entries = t.store.Range(prefix).Entries })
	return entries
}

// Save returns a copy of the store.
func (s *Server) Save() *memory.Store {
	var saved *memory.Store
	s.control(func(t *task) { saved = t.store.Clone() })
	return saved
}

// Restore replaces the store by a saved one, with its older revision. Open watches break.
func (s *Server) Restore(saved *memory.Store) {
	s.control(func(t *task) {
		t.store = saved.Clone()
		t.store.ExtendLeases(time.Now())
		t.breakWatches()
	})
}
