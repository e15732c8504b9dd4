package rollout

import (
	"time"

	"azuredyke.dev/azuredyke/decision/rollout"
)

// adoptAge takes over a larger age of an order from another process, so that the age outlasts the restart of one node after the other.
func (m *Manager) adoptAge(now time.Time, key rolloutKey, ageMillis int64) {
	c := m.counts[key.service]
	if c == nil || c.order.Revision != key.revision {
		return
	}
	if seenAt := now.Add(-time.Duration(ageMillis) * time.Millisecond); seenAt.Before(c.seenAt) {
		c.seenAt = seenAt
	}
}

// ownReport returns the counts of this process.
func (m *Manager) ownReport(now time.Time) Report {
	m.sequence++
	r := Report{Node: m.node, Epoch: m.epoch, Sequence: m.sequence}
	for service, c := range m.counts {
		s := ServiceReport{Service: service, Revision: c.order.Revision, AgeMillis: now.Sub(c.seenAt).Milliseconds(), Tally: c.copyTally()}
		for _, p := range m.progress {
			if p.Service == service {
				s.Phase, s.PlanRevision, s.OldRuns = p.Phase, p.Revision, p.OldRuns
			}
		}
		r.Services = append(r.Services, s)
	}
	return r
}

// ownSum returns the counts of this data centre.
func (m *Manager) ownSum() Sum {
	m.sequence++
	s := Sum{DataCentre: m.state.DataCentre, Relay: m.node, Epoch: m.epoch, Sequence: m.sequence}
	for _, key := range m.keys() {
		s.Services = append(s.Services, m.local.sum(key, m.state.LocalNodes))
	}
	return s
}

// evidence returns what this relay knows of a roll-out.
func (m *Manager) evidence(now time.Time, key rolloutKey, p *rollout.Plan) rollout.Evidence {
	total := m.local.sum(key, m.state.LocalNodes)
	unconfirmed := len(m.state.LocalNodes) - total.Confirmed
	remote := m.remote.of(key)
	for dataCentre, nodes := range m.state.NodesElsewhere {
		unconfirmed += max(0, nodes-remote[dataCentre].Confirmed)
	}
	for _, s := range remote {
		total.Tally.Add(s.Tally)
		total.AgeMillis = max(total.AgeMillis, s.AgeMillis)
	}
	elapsed := time.Duration(total.AgeMillis) * time.Millisecond
	if c := m.counts[key.service]; c != nil && c.order.Revision == key.revision {
		elapsed = max(elapsed, now.Sub(c.seenAt))
	}
	e := rollout.Evidence{Elapsed: elapsed, Tally: total.Tally, Unconfirmed: unconfirmed}
	e.OldEndpoints, e.TargetEndpoints = m.state.endpoints(p)
	return e
}
