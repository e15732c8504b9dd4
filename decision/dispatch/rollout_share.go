package dispatch

import (
	"slices"
	"time"

	"azuredyke.dev/azuredyke/decision/fleet"
	"azuredyke.dev/azuredyke/decision/rollout"
)

// rolloutShare is the state of the roll-out of one service on this node: which versions its requests may use.
type rolloutShare struct {
	// order is the order in force; nil if operators removed it. plan is the newest plan; nil if there is none yet.
	order *rollout.Order
	plan  *rollout.Plan
	// exposure bounds the sends to the target; nil without an order and a plan in the phase Observing.
	exposure *rollout.Exposure
	// stopped is set while the decider cannot write and wants the target to get nothing.
	stopped bool
	// canary is the order in which the endpoints of the target get the canary share. canaryEndpoints holds those that are used now.
	canary          rollout.Canary
	canaryEndpoints []string
	// seenAt is the time at which this process saw the order.
	seenAt time.Time
}

// clone returns a copy that shares no state that changes.
func (s *rolloutShare) clone() *rolloutShare {
	c := *s
	if s.exposure != nil {
		exposure := *s.exposure
		c.exposure = &exposure
	}
	c.canaryEndpoints = slices.Clone(s.canaryEndpoints)
	return &c
}

// excludesTargetOf reports whether the order names a version that may get nothing before the decider has made a plan for it: the
// plan is older, and it is for another version or was reverted.
func (s *rolloutShare) excludesTargetOf(o *rollout.Order) bool {
	if o == nil {
		return false
	}
	return s.plan == nil || o.Revision > s.plan.Order.Revision && (o.Target != s.plan.Order.Target || s.plan.Phase == rollout.Reverted)
}

// isReplaced reports whether the plan is open although its order was replaced by one for another version or was removed. Its
// target then gets nothing, before the decider has written that.
func (s *rolloutShare) isReplaced() bool {
	if s.plan == nil || s.plan.Phase.IsFinal() {
		return false
	}
	return s.order == nil || s.order.Target != s.plan.Order.Target
}

// phase returns the phase that this node applies.
func (s *rolloutShare) phase() rollout.Phase {
	switch {
	case s.plan == nil:
		return rollout.NoPhase
	case s.isReplaced():
		return rollout.Reverted
	default:
		return s.plan.Phase
	}
}

// group returns the group of a version. A plan without old versions was made while no old endpoint was listed, and any other
// version than the target then counts as old.
func (s *rolloutShare) group(version string) rollout.Group {
	switch {
	case s.order != nil && s.excludesTargetOf(s.order) && version == s.order.Target:
		return rollout.TargetGroup
	case s.plan == nil || len(s.plan.OldVersions) == 0 && version != s.plan.Order.Target:
		return rollout.OldGroup
	default:
		return s.plan.Group(version)
	}
}

// selections returns the sets of versions for a request, in the order in which they are tried. draw is a random number from 0 to 1.
func (s *rolloutShare) selections(now time.Time, r *Request, stale bool, draw float64) []selection {
	switch s.phase() {
	case rollout.NoPhase:
		return []selection{selectAllButTarget}
	case rollout.Observing:
		return s.observingSelections(now, r, stale, draw)
	case rollout.Promoting:
		if s.stopped {
			return []selection{selectOld}
		}
		return []selection{selectTarget}
	case rollout.Completed:
		return []selection{selectAllButOld}
	default:
		if s.isClosed() {
			return []selection{selectAllButReverted}
		}
		return []selection{selectOld}
	}
}

// isClosed reports whether the plan was reverted and operators removed its order. Versions that were started later may then serve.
func (s *rolloutShare) isClosed() bool {
	return s.order == nil && s.plan != nil && s.plan.Phase == rollout.Reverted
}

// observingSelections returns the sets of versions for a request in the phase Observing.
func (s *rolloutShare) observingSelections(now time.Time, r *Request, stale bool, draw float64) []selection {
	// A run that goes on from a copy at an engine of the target is sent there even if the share is used up: it would be lost
	// otherwise, and later sends make up for it.
	continues := r.Resumed && r.Group == rollout.TargetGroup && r.RequiredEndpoint != ""
	mayUseTarget := !stale && !s.stopped && (!r.Resumed || r.Group == rollout.TargetGroup)
	allowed := mayUseTarget && s.exposure.AllowsTarget()
	switch {
	case r.Resumed && (continues || allowed):
		return []selection{selectTarget, selectOld}
	case !r.Resumed && allowed && s.canary.Admits(now.Sub(s.seenAt), draw):
		return []selection{selectCanary, selectOld}
	}
	return []selection{selectOld}
}

// contains reports whether a selection contains an endpoint.
func (s *rolloutShare) contains(which selection, e *endpoint) bool {
	if e.isExcluded {
		return false
	}
	switch which {
	case selectOld:
		return e.group == rollout.OldGroup
	case selectAllButTarget:
		return true
	case selectCanary:
		return e.group == rollout.TargetGroup && slices.Contains(s.canaryEndpoints, e.ID)
	case selectTarget:
		return e.group == rollout.TargetGroup
	case selectAllButOld:
		return e.group != rollout.OldGroup
	case selectAllButReverted:
		return e.group != rollout.TargetGroup
	default:
		return false
	}
}

// sort sets the groups of endpoints.
func (s *rolloutShare) sort(endpoints []*endpoint) {
	for _, e := range endpoints {
		e.group, e.isExcluded = s.group(e.Version), s.excludesTargetOf(s.order) && e.Version == s.order.Target
	}
}

// allowsRuns reports whether runs may go on at a version; if not, they are moved as if the endpoint were leaving.
func (s *rolloutShare) allowsRuns(version string) bool {
	g := s.group(version)
	switch s.phase() {
	case rollout.NoPhase:
		return g != rollout.TargetGroup
	case rollout.Observing:
		return g != rollout.OtherGroup
	case rollout.Promoting:
		return g == rollout.TargetGroup && !s.stopped || g == rollout.OldGroup && s.stopped
	case rollout.Completed:
		return g != rollout.OldGroup && !(s.excludesTargetOf(s.order) && version == s.order.Target)
	default:
		return g == rollout.OldGroup || s.isClosed() && g != rollout.TargetGroup
	}
}

// getsMostRequests reports whether the endpoints of a version are those for whose capacity requests of the service wait. While the
// target is observed, these are the old ones.
func (s *rolloutShare) getsMostRequests(version string) bool {
	return s.allowsRuns(version) && (s.phase() != rollout.Observing || s.group(version) == rollout.OldGroup)
}

// allowsCopy reports whether a copy of a run at one version may be placed at another one.
func (s *rolloutShare) allowsCopy(from, to string) bool {
	if !s.allowsRuns(to) {
		return false
	}
	return s.phase() != rollout.Observing || s.group(from) == s.group(to)
}

// recordSend counts a request that was placed on a version. Repeats and copies at old endpoints are not counted, since the bound
// is a share of the requests that reach the service.
func (s *rolloutShare) recordSend(r *Request, version string) {
	if s.exposure == nil {
		return
	}
	if g := s.group(version); g == rollout.TargetGroup || !r.Repeat && !r.Resumed {
		s.exposure.RecordSend(g)
	}
}

// setCanary sets the order in which the endpoints of the target get the canary share, the same on all nodes.
func (s *rolloutShare) setCanary(share float64, endpoints []fleet.Endpoint, out map[string]bool) {
	var targets []string
	old := 0
	for _, e := range endpoints {
		switch g := s.group(e.Version); {
		case e.Leaving || out[e.DataCentre]:
		case g == rollout.TargetGroup:
			targets = append(targets, e.ID)
		case g == rollout.OldGroup:
			old++
		}
	}
	s.canary = rollout.NewCanary(s.plan.Order, share, old, targets)
}
