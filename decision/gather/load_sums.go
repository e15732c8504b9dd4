package gather

import (
	"maps"
	"slices"
	"time"

	"azuredyke.dev/azuredyke/decision/dispatch"
)

// LoadSums holds the load sums of a relay. It is not safe for concurrent use; one task owns it.
type LoadSums struct {
	updateSchedule
	// nodes holds the loads of the nodes of the relay's data centre, by node.
	nodes map[string]*LoadView
	// remote holds the sums of the other data centres, by data centre and by the relay that sent them.
	remote map[string]map[string]*LoadView
	// activeRelay is the relay whose sum counts, by data centre.
	activeRelay map[string]string
	// local is the load of the relay's data centre, total the load of all data centres.
	local, total map[string]dispatch.Load
}

// NewLoadSums returns sums without load. The epoch must differ from that of the node's earlier processes.
func NewLoadSums(epoch uint64) *LoadSums {
	return &LoadSums{
		updateSchedule: newUpdateSchedule(epoch, relayIdleInterval), nodes: map[string]*LoadView{}, remote: map[string]map[string]*LoadView{},
		activeRelay: map[string]string{}, local: map[string]dispatch.Load{}, total: map[string]dispatch.Load{},
	}
}

// ApplyNodeUpdate applies an update from a node of the relay's data centre.
func (s *LoadSums) ApplyNodeUpdate(now time.Time, node string, u Update) {
	view := s.nodes[node]
	if view == nil {
		view = &LoadView{}
		s.nodes[node] = view
	}
	changes := view.Apply(now, u)
	addChanges(s.local, changes)
	s.applyToTotal(changes)
}

// ApplyDataCentreUpdate applies an update of the sum of another data centre, which one of its relays has sent.
func (s *LoadSums) ApplyDataCentreUpdate(now time.Time, name, relay string, u Update) {
	relays := s.remote[name]
	if relays == nil {
		relays = map[string]*LoadView{}
		s.remote[name] = relays
	}
	if relays[relay] == nil {
		relays[relay] = &LoadView{}
	}
	changes := relays[relay].Apply(now, u)
	if s.activeRelay[name] == relay {
		s.applyToTotal(changes)
	}
	s.chooseRelay(now, name)
}

// chooseRelay makes the first relay of a data centre that is not silent the active one. If all are silent, the active relay
// stays.
func (s *LoadSums) chooseRelay(now time.Time, name string) {
	relays := s.remote[name]
	next := ""
	for _, relay := range slices.Sorted(maps.Keys(relays)) {
		if now.Sub(relays[relay].receivedAt) <= RelaySilence {
			next = relay
			break
		}
	}
	previous := s.activeRelay[name]
	if next == "" || next == previous {
		return
	}
	if previous != "" {
		s.applyToTotal(negated(relays[previous].Loads()))
	}
	s.applyToTotal(relays[next].Loads())
	s.activeRelay[name] = next
}

// Expire removes the loads of the senders that have been silent for longer than reportExpiry.
func (s *LoadSums) Expire(now time.Time) {
	for node, view := range s.nodes {
		if now.Sub(view.receivedAt) > reportExpiry {
			changes := view.clear()
			addChanges(s.local, changes)
			s.applyToTotal(changes)
			delete(s.nodes, node)
		}
	}
	for name, relays := range s.remote {
		s.chooseRelay(now, name)
		for relay, view := range relays {
			if now.Sub(view.receivedAt) <= reportExpiry {
				continue
			}
			if s.activeRelay[name] == relay {
				s.applyToTotal(view.clear())
				delete(s.activeRelay, name)
			}
			delete(relays, relay)
		}
	}
}

// applyToTotal adds changes to the total and to the next update.
func (s *LoadSums) applyToTotal(changes []dispatch.Load) {
	addChanges(s.total, changes)
	s.recordChanges(changes)
}

// addChanges adds changes to loads and removes the loads that become zero.
func addChanges(loads map[string]dispatch.Load, changes []dispatch.Load) {
	for _, c := range changes {
		if l := sum(c.Endpoint, loads[c.Endpoint], c); isZero(l) {
			delete(loads, c.Endpoint)
		} else {
			loads[c.Endpoint] = l
		}
	}
}

// Next returns the updates for all receivers and clears the recorded changes.
func (s *LoadSums) Next(now time.Time) Updates {
	u := Updates{sums: s, update: s.nextUpdate(now, len(s.total))}
	if u.update.full {
		u.loadedEndpoints = slices.Sorted(maps.Keys(s.total))
	}
	return u
}

// LoadOfOthers returns the others' load of a node, which is the total load without that of the node, sorted by endpoint.
func (s *LoadSums) LoadOfOthers(node string) []dispatch.Load {
	return nonZeroLoads(slices.Sorted(maps.Keys(s.total)), func(endpoint string) dispatch.Load { return s.othersLoad(node, endpoint) })
}

// othersLoad returns the others' load of a node on an endpoint.
func (s *LoadSums) othersLoad(node, endpoint string) dispatch.Load {
	own := dispatch.Load{}
	if view := s.nodes[node]; view != nil {
		own = view.load(endpoint)
	}
	return difference(endpoint, s.total[endpoint], own)
}
