package rollout

import (
	"maps"
	"slices"
	"time"

	"azuredyke.dev/azuredyke/decision/rollout"
)

// publish publishes the state of the roll-outs for operators.
func (m *Manager) publish(now time.Time) {
	services := map[string]bool{}
	for service := range m.state.Fleet.Orders {
		services[service] = true
	}
	for service := range m.state.Fleet.Plans {
		services[service] = true
	}
	var all []Overview
	for _, service := range slices.Sorted(maps.Keys(services)) {
		all = append(all, m.overview(now, service))
	}
	m.overviews.Publish(all)
}

// overview returns the state of the roll-out of a service.
func (m *Manager) overview(now time.Time, service string) Overview {
	o := Overview{Service: service, Phase: rollout.NoPhase.String()}
	p := m.state.plan(service)
	if p != nil {
		o.Target, o.Phase, o.Reason, o.Decider, o.OldVersions = p.Order.Target, p.Phase.String(), p.Reason, p.Decider, p.OldVersions
		o.OrderRevision, o.DurationMillis = p.Order.Revision, p.Order.Duration.Milliseconds()
	}
	c := m.counts[service]
	if c == nil {
		return o
	}
	if p == nil || p.Order.Revision != c.order.Revision {
		o.Target, o.Phase, o.Reason, o.Decider = c.order.Target, rollout.NoPhase.String(), "the order has no plan yet", ""
	}
	o.OrderRevision, o.DurationMillis = c.order.Revision, c.order.Duration.Milliseconds()
	o.AgeMillis, o.Stopped = now.Sub(c.seenAt).Milliseconds(), !c.stoppedUntil.IsZero()
	o.setCounts(c.tally)
	for _, progress := range m.progress {
		if progress.Service == service {
			o.OldRuns = progress.OldRuns
		}
	}
	if m.state.Rank >= 0 && p != nil {
		e := m.evidence(now, rolloutKey{service, c.order.Revision}, p)
		o.Fleet, o.Unconfirmed = newOverviewCounts(e.Tally), e.Unconfirmed
	}
	return o
}
