package dispatch

import (
	"slices"
	"time"

	"azuredyke.dev/azuredyke/decision/fleet"
	"azuredyke.dev/azuredyke/decision/rollout"
)

// setRollouts applies the orders and plans of a snapshot. The exposure of a roll-out goes on while the order names the same
// version, and starts anew after it was reverted.
func (t *Table) setRollouts(now time.Time, s *fleet.Snapshot) {
	previous := t.rollouts
	t.rollouts = make(map[string]*rolloutShare, len(s.Orders)+len(s.Plans))
	for service, order := range s.Orders {
		t.rollouts[service] = &rolloutShare{order: &order}
	}
	for service, stored := range s.Plans {
		if t.rollouts[service] == nil {
			t.rollouts[service] = &rolloutShare{}
		}
		t.rollouts[service].plan = stored.Plan
	}
	for service, share := range t.rollouts {
		share.seenAt = now
		if p := previous[service]; p != nil && p.order != nil && share.order != nil && p.order.Revision == share.order.Revision {
			share.seenAt = p.seenAt
		}
		t.carryExposure(previous[service], share)
		share.sort(t.services[service])
		if share.plan != nil {
			share.setCanary(t.params.CanaryShare, s.Endpoints[service], s.Out)
		}
	}
}

// carryExposure gives a share its bound: that of the previous state if the roll-out is the same. A process that was started after the
// order, which is in its first snapshot with a configuration, gets no part of the excess: an earlier process of the node may have used it.
func (t *Table) carryExposure(previous, share *rolloutShare) {
	if share.order == nil {
		return
	}
	if previous != nil && previous.exposure != nil && previous.order != nil && previous.order.Target == share.order.Target &&
		(previous.order.Revision == share.order.Revision || previous.phase() != rollout.Reverted) {
		share.exposure = previous.exposure
		share.stopped = previous.stopped && share.plan != nil && !share.plan.Phase.IsFinal()
		return
	}
	nodes := 0
	if t.configured {
		nodes = t.nodes
	}
	share.exposure = rollout.NewExposure(t.random, t.params.CanaryShare, nodes)
}

// SetStateAge records the age of the last confirmation of the node's copy of the store. With an older copy than maxRolloutAge, a
// plan in the phase Observing may have been reverted without the node's knowledge.
func (t *Table) SetStateAge(age time.Duration) { t.rolloutStale = age >= maxRolloutAge }

// SetRolloutStopped sets whether the target of a service's roll-out gets nothing although the plan says otherwise, and reports
// whether that is new.
func (t *Table) SetRolloutStopped(service string, orderRevision int64, stopped bool) bool {
	share := t.rollouts[service]
	if share == nil || share.plan == nil || share.plan.Phase.IsFinal() || share.plan.Order.Revision != orderRevision || share.stopped == stopped {
		return false
	}
	share.stopped = stopped
	return true
}

// RolloutAllowsRuns reports whether the roll-out of a service lets runs go on at a version.
func (t *Table) RolloutAllowsRuns(service, version string) bool {
	share := t.rollouts[service]
	return share == nil || share.allowsRuns(version)
}

// RolloutProgress returns how far this node has followed the roll-outs that are in force, sorted by service.
func (t *Table) RolloutProgress() []RolloutProgress {
	var all []RolloutProgress
	for service, share := range t.rollouts {
		p := RolloutProgress{Service: service, Phase: share.phase(), Stopped: share.stopped}
		if share.plan != nil {
			p.Revision = share.plan.Order.Revision
		}
		for _, r := range t.runs {
			if r.endpoint.Service == service && share.group(r.endpoint.Version) == rollout.OldGroup {
				p.OldRuns++
			}
		}
		all = append(all, p)
	}
	slices.SortFunc(all, RolloutProgress.compare)
	return all
}

// chooseEndpoint returns the endpoint for a request: among all endpoints, or those that a roll-out allows.
func (t *Table) chooseEndpoint(now time.Time, r *Request) (*endpoint, Refusal) {
	share := t.rollouts[r.Service]
	if share == nil {
		return t.chooseAmong(now, r, nil, selectNone)
	}
	refusal := NoEndpoint
	for _, which := range share.selections(now, r, t.rolloutStale, t.random.Float64()) {
		var e *endpoint
		if which == selectCanary {
			share.canaryEndpoints = share.canary.Choose(func(id string) bool { return t.admitsCanary(now, id) })
		}
		if e, refusal = t.chooseAmong(now, r, share, which); refusal == "" {
			return e, ""
		}
	}
	return nil, refusal
}

// admitsCanary reports whether an endpoint of the target admits a request now.
func (t *Table) admitsCanary(now time.Time, id string) bool {
	e := t.endpoints[id]
	return e != nil && e.refreshCandidate(now, t.params.DataCentre) && e.coldLimitAdmits(now, t.nodeStarted, t.params, t.nodes)
}

// recordRolloutSend counts a placed request for the bound of its service's roll-out, and returns its roll-out and group; nil if
// there is no roll-out whose outcomes count.
func (t *Table) recordRolloutSend(now time.Time, r *Request, chosen *endpoint) *RolloutRun {
	share := t.rollouts[r.Service]
	if share == nil || share.order == nil {
		return nil
	}
	share.recordSend(r, chosen.Version)
	return &RolloutRun{Revision: share.order.Revision, Group: share.group(chosen.Version), Cold: chosen.mayBeCold(now)}
}
