package gather

import (
	"maps"
	"slices"
	"time"

	"azuredyke.dev/azuredyke/decision/dispatch"
)

// Sums is the state of a relay. It belongs to one task.
type Sums struct {
	outbox
	// nodes holds the loads of the nodes of the own data centre, by node; remote those of other data centres, by data centre
	// and by the relay that sent them.
	nodes  map[string]*Image
	remote map[string]map[string]*Image
	// chosen is the relay of each data centre whose sum counts.
	chosen map[string]string
	// local is the sum of nodes, total that of everything.
	local, total map[string]dispatch.Load
}

// NewSums returns sums of nothing. The epoch differs from that of the node's earlier processes.
func NewSums(epoch uint64) *Sums {
	return &Sums{
		outbox: newOutbox(epoch), nodes: map[string]*Image{}, remote: map[string]map[string]*Image{}, chosen: map[string]string{},
		local: map[string]dispatch.Load{}, total: map[string]dispatch.Load{},
	}
}

// Report takes the loads of a node of the own data centre.
func (s *Sums) Report(now time.Time, node string, u Update) {
	image := s.nodes[node]
	if image == nil {
		image = &Image{}
		s.nodes[node] = image
	}
	changes := image.Take(now, u)
	apply(s.local, changes)
	s.apply(changes)
}

// DataCentre takes the sum of another data centre from one of its relays.
func (s *Sums) DataCentre(now time.Time, name, relay string, u Update) {
	relays := s.remote[name]
	if relays == nil {
		relays = map[string]*Image{}
		s.remote[name] = relays
	}
	if relays[relay] == nil {
		relays[relay] = &Image{}
	}
	changes := relays[relay].Take(now, u)
	if s.chosen[name] == relay {
		s.apply(changes)
	}
	s.choose(now, name)
}

// choose lets the sum of the first relay that is not silent count.
func (s *Sums) choose(now time.Time, name string) {
	relays := s.remote[name]
	next := ""
	for _, relay := range slices.Sorted(maps.Keys(relays)) {
		if now.Sub(relays[relay].at) <= RelaySilence {
			next = relay
			break
		}
	}
	before := s.chosen[name]
	if next == "" || next == before {
		return
	}
	if before != "" {
		s.apply(negated(relays[before].Loads()))
	}
	s.apply(relays[next].Loads())
	s.chosen[name] = next
}

// Expire forgets the senders that have been silent for long.
func (s *Sums) Expire(now time.Time) {
	for node, image := range s.nodes {
		if now.Sub(image.at) > silence {
			changes := image.clear()
			apply(s.local, changes)
			s.apply(changes)
			delete(s.nodes, node)
		}
	}
	for name, relays := range s.remote {
		s.choose(now, name)
		for relay, image := range relays {
			if now.Sub(image.at) <= silence {
				continue
			}
			if s.chosen[name] == relay {
				s.apply(image.clear())
				delete(s.chosen, name)
			}
			delete(relays, relay)
		}
	}
}

// apply changes the total.
func (s *Sums) apply(changes []dispatch.Load) {
	apply(s.total, changes)
	s.touch(changes)
}

func apply(loads map[string]dispatch.Load, changes []dispatch.Load) {
	for _, c := range changes {
		if l := sum(c.Endpoint, loads[c.Endpoint], c); idle(l) {
			delete(loads, c.Endpoint)
		} else {
			loads[c.Endpoint] = l
		}
	}
}

// Next begins the updates for all receivers.
func (s *Sums) Next(now time.Time) Updates {
	u := Updates{sums: s, update: s.next(now)}
	if u.update.full {
		u.all = slices.Sorted(maps.Keys(s.total))
	}
	return u
}

// Others returns what everything but one node has in flight, sorted by endpoint.
func (s *Sums) Others(node string) []dispatch.Load {
	return busy(slices.Sorted(maps.Keys(s.total)), func(endpoint string) dispatch.Load { return s.othersOf(node, endpoint) })
}

// othersOf returns what everything but one node has in flight at an endpoint.
func (s *Sums) othersOf(node, endpoint string) dispatch.Load {
	own := dispatch.Load{}
	if image := s.nodes[node]; image != nil {
		own = image.of(endpoint)
	}
	return difference(endpoint, s.total[endpoint], own)
}
