package admission

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"azuredyke.dev/azuredyke/common/message"
)

// checkRecovery ends all work and checks that no capacity is lost: the newest owner charges nothing, and work starts
// again on every endpoint.
func (m *model) checkRecovery() {
	m.setDataCentreOut(false)
	m.confirmed = true
	m.grants = nil
	for _, e := range m.endpoints {
		for len(e.running) > 0 {
			m.finishRequest(e, 0)
		}
	}
	o := m.owner()
	m.loadReports = nil
	for range 400 {
		m.advance(200 * time.Millisecond)
		for _, e := range m.endpoints {
			m.deliverLoad(m.loadReport(e))
		}
		m.dispatch(o)
		m.grants = nil // Grants made here are never started.
	}
	for _, e := range o.cell.View().Endpoints {
		if e.InFlight != 0 {
			m.t.Fatalf("%s has %d requests in flight although nothing runs", e.Endpoint.ID, e.InFlight)
		}
	}
	served := map[string]bool{}
	for range 100 {
		m.ticket++
		o.cell.Enqueue(m.now, WaitingRequest{Ticket: m.ticket, Deadline: m.now.Add(time.Minute)})
		m.dispatch(o)
		for _, g := range m.grants {
			served[g.grant.Endpoint.ID] = true
			o.cell.ApplyReport(m.now, message.GrantReport{
				Fence: o.fence, Number: g.grant.Number, Event: message.GrantCompleted, Tokens: 10,
			})
		}
		m.grants = nil
		m.advance(time.Second)
		for _, e := range m.endpoints {
			m.deliverLoad(m.loadReport(e))
		}
	}
	if len(served) != len(m.endpoints) {
		m.t.Fatalf("work starts on %d of %d endpoints", len(served), len(m.endpoints))
	}
}

// Guards against a sequence of placements, reports, takeovers, restarts and outages in which an endpoint receives more
// requests than its limit during a cold start, or in which capacity is lost permanently.
func TestEventOrdersKeepColdLimitsAndCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		t.Repeat(m.actions())
		m.checkRecovery()
	})
}
