package fleet

import (
	"maps"
	"slices"
	"strings"
	"time"

	"azuredyke.dev/azuredyke/common/catalog"
	"azuredyke.dev/azuredyke/decision/rollout"
)

// lapseGrace is the time after an outage of the key-value service within which a lapsed entry must be written again. The
// platform promises about 2 s.
const lapseGrace = 2200 * time.Millisecond

// remainingShareDivisor divides the number of endpoints of a service before an outage: if as many are left, the missing ones have left.
const remainingShareDivisor = 2

// State is a node's view of the fleet. It is not safe for concurrent use; one task owns it.
type State struct {
	configuration  *catalog.Configuration
	dataCentresOut map[string]bool
	endpoints      map[string]*member
	orders         map[string]rollout.Order
	plans          map[string]StoredPlan
	// unreadable holds the services with an order that cannot be used, and for which no earlier order is known.
	unreadable map[string]bool
	// storeUnreachable is set while the key-value service cannot be reached.
	storeUnreachable bool
	// graceEnd is the time from which entries that lapsed during the last outage count as removed.
	graceEnd time.Time
	// listed is the number of endpoints of each service that were in use when the key-value service was lost last.
	listed map[string]int
}

// NewState returns an empty state.
func NewState() *State {
	return &State{
		dataCentresOut: map[string]bool{}, endpoints: map[string]*member{}, orders: map[string]rollout.Order{}, plans: map[string]StoredPlan{},
		unreadable: map[string]bool{},
	}
}

// Apply makes a change, and reports whether the state differs afterwards.
func (s *State) Apply(now time.Time, c Change) bool { return c.apply(s, now) }

// StoreLost records that the key-value service cannot be reached.
func (s *State) StoreLost() {
	if !s.storeUnreachable {
		s.storeUnreachable, s.listed = true, s.countInUse(func(*member) bool { return true })
	}
}

// inDoubt reports whether a missing entry may have lapsed because of an outage of the key-value service.
func (s *State) inDoubt(now time.Time) bool { return s.storeUnreachable || now.Before(s.graceEnd) }

// StoreRegained records that the key-value service answers again.
func (s *State) StoreRegained(now time.Time) {
	if s.storeUnreachable {
		s.storeUnreachable, s.graceEnd = false, now.Add(lapseGrace)
	}
}

// SettleRemovals decides which of the entries that went missing while in doubt are those of endpoints that have left, and removes these.
// It is called after all changes of one read.
//
// This node may have lost the key-value service alone, and then no lease has ended. An outage that is long enough to end leases ends
// those of nearly all endpoints. So the missing endpoints have left if at least half of those listed before are left, new ones included.
func (s *State) SettleRemovals() Settlement {
	remaining := s.countInUse(func(m *member) bool { return !m.lapsed })
	var result Settlement
	for id, m := range s.endpoints {
		if !m.unsettled {
			continue
		}
		m.unsettled = false
		if remainingShareDivisor*remaining[m.endpoint.Service] >= s.listed[m.endpoint.Service] {
			result.Departed = append(result.Departed, id)
			delete(s.endpoints, id)
		} else {
			result.Lapsed = append(result.Lapsed, id)
		}
	}
	return result
}

// countInUse returns the number of endpoints of each service that are not leaving and match.
func (s *State) countInUse(matches func(*member) bool) map[string]int {
	counts := map[string]int{}
	for _, m := range s.endpoints {
		if !m.endpoint.Leaving && matches(m) {
			counts[m.endpoint.Service]++
		}
	}
	return counts
}

// Expire removes the endpoints whose lapsed entries were not written again in time, and reports whether there were any.
func (s *State) Expire(now time.Time) bool {
	if s.inDoubt(now) {
		return false
	}
	before := len(s.endpoints)
	maps.DeleteFunc(s.endpoints, func(_ string, m *member) bool { return m.lapsed })
	return len(s.endpoints) != before
}

// Snapshot returns an immutable copy of the state.
func (s *State) Snapshot() *Snapshot {
	snapshot := &Snapshot{
		Configuration: s.configuration, Out: maps.Clone(s.dataCentresOut), Endpoints: make(map[string][]Endpoint),
		Orders: maps.Clone(s.orders), Plans: maps.Clone(s.plans),
	}
	for service := range s.unreadable {
		// The order that was in force before is in the plan, if there was one.
		if stored, ok := s.plans[service]; ok {
			snapshot.Orders[service] = stored.Plan.Order
		}
	}
	for _, m := range s.endpoints {
		e := Endpoint{Endpoint: m.endpoint, ColdUntil: m.coldUntil}
		snapshot.Endpoints[e.Service] = append(snapshot.Endpoints[e.Service], e)
	}
	for _, list := range snapshot.Endpoints {
		slices.SortFunc(list, func(a, b Endpoint) int { return strings.Compare(a.ID, b.ID) })
	}
	return snapshot
}
