package rollout

import (
	"slices"

	"azuredyke.dev/azuredyke/decision/fleet"
	"azuredyke.dev/azuredyke/decision/rollout"
)

// State is what a node knows of the cluster, as far as roll-outs depend on it. It is immutable.
type State struct {
	Fleet *fleet.Snapshot
	// DataCentre is the data centre of this node, and Rank its rank among the relays there; -1 if it is no relay.
	DataCentre string
	Rank       int
	// LocalNodes lists the ids of all nodes of this data centre, and NodesElsewhere the numbers of nodes of the other ones.
	LocalNodes     []string
	NodesElsewhere map[string]int
	Holder         Holder
}

// order returns the order in force of a service; nil if there is none.
func (s *State) order(service string) *rollout.Order {
	if o, ok := s.Fleet.Orders[service]; ok {
		return &o
	}
	return nil
}

// plan returns the plan of a service; nil if there is none.
func (s *State) plan(service string) *rollout.Plan { return s.Fleet.Plans[service].Plan }

// openServices returns the services with a roll-out that has no final phase yet, in order.
func (s *State) openServices() []string {
	var open []string
	for service, o := range s.Fleet.Orders {
		if p := s.plan(service); p == nil || p.Order.Revision < o.Revision || !p.Phase.IsFinal() {
			open = append(open, service)
		}
	}
	for service, stored := range s.Fleet.Plans {
		if _, ordered := s.Fleet.Orders[service]; !ordered && !stored.Plan.Phase.IsFinal() {
			open = append(open, service)
		}
	}
	slices.Sort(open)
	return open
}

// endpoints returns the numbers of endpoints in a plan's groups that accept requests.
func (s *State) endpoints(p *rollout.Plan) (old, target int) {
	for _, e := range s.Fleet.Endpoints[p.Order.Service] {
		if e.Leaving || s.Fleet.Out[e.DataCentre] {
			continue
		}
		switch p.Group(e.Version) {
		case rollout.OldGroup:
			old++
		case rollout.TargetGroup:
			target++
		}
	}
	return old, target
}

// versions returns the versions of the listed endpoints of a service, in order.
func (s *State) versions(service string) []string {
	var versions []string
	for _, e := range s.Fleet.Endpoints[service] {
		versions = append(versions, e.Version)
	}
	slices.Sort(versions)
	return slices.Compact(versions)
}
