package fleet

import (
	"maps"
	"slices"
	"strings"
	"time"

	"azuredyke.dev/azuredyke/common/catalog"
)

// lapseGrace is how long after the service's return an entry that lapsed meanwhile may take to come back; the platform
// promises about 2 s.
const lapseGrace = 2200 * time.Millisecond

// State is what a node believes. It belongs to one task.
type State struct {
	configuration *catalog.Configuration
	out           map[string]bool
	endpoints     map[string]*member
	// away is set while the service cannot be reached.
	away bool
	// lapseUntil is when entries that lapsed during an outage count as removed.
	lapseUntil time.Time
}

// NewState returns a state that knows nothing.
func NewState() *State {
	return &State{out: map[string]bool{}, endpoints: map[string]*member{}}
}

// Apply takes a change and reports whether the state is different afterwards.
func (s *State) Apply(now time.Time, c Change) bool { return c.apply(s, now) }

// ServiceLost notes that the key-value service cannot be reached.
func (s *State) ServiceLost() { s.away = true }

// ServiceRegained notes that the key-value service answers again.
func (s *State) ServiceRegained(now time.Time) {
	if s.away {
		s.away, s.lapseUntil = false, now.Add(lapseGrace)
	}
}

// Expire removes the endpoints whose lapsed entries did not come back, and reports whether there were any.
func (s *State) Expire(now time.Time) bool {
	if s.away || now.Before(s.lapseUntil) {
		return false
	}
	before := len(s.endpoints)
	maps.DeleteFunc(s.endpoints, func(_ string, m *member) bool { return m.lapsed })
	return len(s.endpoints) != before
}

// Snapshot returns an immutable copy.
func (s *State) Snapshot() *Snapshot {
	n := &Snapshot{Configuration: s.configuration, Out: maps.Clone(s.out), Endpoints: make(map[string][]Endpoint)}
	for _, m := range s.endpoints {
		e := Endpoint{Endpoint: m.endpoint, ColdUntil: m.coldUntil}
		n.Endpoints[e.Service] = append(n.Endpoints[e.Service], e)
	}
	for _, list := range n.Endpoints {
		slices.SortFunc(list, func(a, b Endpoint) int { return strings.Compare(a.ID, b.ID) })
	}
	return n
}
