package fleet

import (
	"maps"
	"slices"
	"strings"
	"time"

	"azuredyke.dev/azuredyke/backing"
	"azuredyke.dev/azuredyke/common/catalog"
	"azuredyke.dev/azuredyke/decision/rollout"
)

// lapseGrace is the time after an outage of the key-value service within which a lapsed entry must be written again. The
// platform promises about 2 s.
const lapseGrace = 2200 * time.Millisecond

const (
	// departureRetention is the time for which a removed endpoint is remembered. A copy of the key-value service is some seconds old, and
	// the platform removes the entry of an endpoint that does not write it within seconds.
	departureRetention = time.Minute
	// orderGrace is the time after a restore of the key-value service within which operators must write an order again. The platform does so
	// within seconds; the grace is longer because requests must not reach a data centre that is out, while a data centre that stays out
	// for too long only costs capacity.
	orderGrace = 30 * time.Second
)

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
	// readsNewEra is set from BeginEra until SettleRemovals.
	readsNewEra bool
	// departed holds the endpoints whose entries were removed lately, by id.
	departed map[string]departure
	// outUntil holds the data centres that stay out although the key-value service has lost the order, with the end of that time.
	outUntil map[string]time.Time
	// listed is the number of endpoints of each service that were in use when the key-value service was lost last.
	listed map[string]int
}

// NewState returns an empty state.
func NewState() *State {
	return &State{
		dataCentresOut: map[string]bool{}, endpoints: map[string]*member{}, orders: map[string]rollout.Order{}, plans: map[string]StoredPlan{},
		unreadable: map[string]bool{}, departed: map[string]departure{}, outUntil: map[string]time.Time{},
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

// BeginEra records that the key-value service was restored from an older copy, all of whose entries are applied next, up to SettleRemovals.
// Operators and endpoints write again what the copy lacks. Until then, a missing entry of an endpoint counts as lapsed, and a missing order
// to take a data centre out stays in force for orderGrace.
func (s *State) BeginEra(now time.Time) {
	s.StoreLost()
	s.StoreRegained(now)
	s.readsNewEra = true
}

// SettleRemovals decides which of the entries that went missing while in doubt are those of endpoints that have left, and removes these.
// It is called after all changes of one read.
//
// This node may have lost the key-value service alone, and then no lease has ended. An outage that is long enough to end leases ends
// those of nearly all endpoints. So the missing endpoints have left if at least half of those listed before are left, new ones included.
func (s *State) SettleRemovals() Settlement {
	s.readsNewEra = false
	remaining := s.countInUse(func(m *member) bool { return !m.lapsed })
	var result Settlement
	for id, m := range s.endpoints {
		if !m.unsettled {
			continue
		}
		m.unsettled = false
		if remainingShareDivisor*remaining[m.endpoint.Service] >= s.listed[m.endpoint.Service] {
			result.Departed = append(result.Departed, id)
			s.removeEndpoint(m)
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

// Expire removes the endpoints whose lapsed entries were not written again in time, and takes back the data centres whose orders were not,
// and reports whether there were any.
func (s *State) Expire(now time.Time) bool {
	maps.DeleteFunc(s.departed, func(_ string, d departure) bool { return now.Sub(d.at) > departureRetention })
	changed := false
	for name, end := range s.outUntil {
		if !now.Before(end) {
			delete(s.outUntil, name)
			delete(s.dataCentresOut, name)
			changed = true
		}
	}
	if s.inDoubt(now) {
		return changed
	}
	for _, m := range s.endpoints {
		if m.lapsed {
			s.removeEndpoint(m)
			changed = true
		}
	}
	return changed
}

// removeEndpoint removes an endpoint whose entry is missing.
func (s *State) removeEndpoint(m *member) {
	delete(s.endpoints, m.endpoint.ID)
	s.departed[m.endpoint.ID] = departure{endpoint: m.endpoint, revision: m.missingRevision, at: m.missingSince}
}

// isOutdated reports whether an entry was written before what is known of its endpoint. After a restore of the key-value service, the order
// is that of the endpoint's own statements: the copy has older ones under newer revisions.
func (s *State) isOutdated(e *catalog.Endpoint) bool {
	if d, ok := s.departed[e.ID]; ok && backing.RevisionEra(e.Revision) > backing.RevisionEra(d.revision) {
		return e.Compare(&d.endpoint) <= 0
	}
	known, ok := s.endpoints[e.ID]
	switch {
	case !ok:
		return false
	case backing.RevisionEra(e.Revision) > backing.RevisionEra(known.endpoint.Revision):
		return e.Compare(&known.endpoint) < 0
	default:
		return known.endpoint.Revision > e.Revision
	}
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
