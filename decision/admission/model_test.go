package admission

import (
	"fmt"
	"time"

	"pgregory.net/rapid"

	"azuredyke.dev/azuredyke/common/message"
)

const (
	modelColdLimit   = 1
	modelConcurrency = 8
	modelStartWithin = time.Second
	// modelMaxDelay is the longest time from an event at a gateway to its report at the owner. It is shorter than
	// maxReportDelay.
	modelMaxDelay = 800 * time.Millisecond
)

// model checks the owners of a cell against the actual state of its endpoints.
type model struct {
	t             *rapid.T
	now           time.Time
	endpoints     []*modelEndpoint
	owners        []*modelOwner
	grants        []modelGrant
	reports       []modelReport
	loadReports   []modelLoad
	confirmed     bool
	dataCentreOut bool
	ticket        uint64
	grantCount    int
}

func newModel(t *rapid.T) *model {
	m := &model{t: t, now: time.Unix(1000, 0), confirmed: true}
	for i := range rapid.IntRange(1, 2).Draw(t, "endpoints") {
		m.endpoints = append(m.endpoints, &modelEndpoint{id: fmt.Sprint("e", i)})
	}
	m.takeOver()
	return m
}

func (m *model) owner() *modelOwner { return m.owners[len(m.owners)-1] }

// takeOver adds a new owner of the cell. The previous owner is not notified.
func (m *model) takeOver() {
	o := &modelOwner{fence: uint64(len(m.owners) + 1), incarnations: map[string]int{}, activeFrom: m.now.Add(modelStartWithin)}
	o.cell = NewCell("cell", o.fence, o.activeFrom, Params{
		StartWithin: modelStartWithin, ColdLimit: modelColdLimit, MaxConcurrency: modelConcurrency, MaxQueue: 20,
	})
	o.cell.SetEndpoints(m.now, m.endpointList(), nil)
	m.owners = append(m.owners, o)
	m.confirmed = true
}

func (m *model) endpointList() []message.Endpoint {
	var list []message.Endpoint
	for _, e := range m.endpoints {
		list = append(list, message.Endpoint{ID: e.id})
	}
	return list
}

func (m *model) endpoint(id string) *modelEndpoint {
	for _, e := range m.endpoints {
		if e.id == id {
			return e
		}
	}
	return nil
}

// dispatch calls Dispatch of an owner. Only the newest owner can be confirmed.
func (m *model) dispatch(o *modelOwner) {
	a := Authority{Owned: true, Confirmed: o == m.owner() && m.confirmed, DataCentreOut: m.dataCentreOut}
	for _, d := range o.cell.Dispatch(m.now, a) {
		if d.Reply.Grant == nil {
			continue
		}
		g := *d.Reply.Grant
		e := m.endpoint(g.Endpoint.ID)
		known, ok := o.incarnations[e.id]
		m.grantCount++
		m.grants = append(m.grants, modelGrant{
			owner: o, grant: g, at: m.now, current: ok && known == e.incarnation,
		})
	}
}

// startRequest sends a granted request, and checks that the endpoint runs at most the cold limit plus one request for
// each completion.
func (m *model) startRequest(g modelGrant) {
	e := m.endpoint(g.grant.Endpoint.ID)
	r := &modelRequest{owner: g.owner, number: g.grant.Number, current: g.current}
	e.running = append(e.running, r)
	m.sendReport(r, message.GrantStarted)
	if !g.current {
		return
	}
	current := 0
	for _, x := range e.running {
		if x.current {
			current++
		}
	}
	if limit := min(modelConcurrency, modelColdLimit+e.completed-e.uncredited); current > limit {
		m.t.Fatalf("%s runs %d requests; its limit is %d", e.id, current, limit)
	}
}

// sendReport sends a grant report to the owner of a request, with a random delay.
func (m *model) sendReport(r *modelRequest, event message.GrantEvent) {
	delay := time.Duration(rapid.IntRange(0, int(modelMaxDelay/time.Millisecond)).Draw(m.t, "delay")) * time.Millisecond
	due := m.now.Add(delay)
	if n := len(m.reports); n > 0 && m.reports[n-1].due.After(due) {
		due = m.reports[n-1].due
	}
	m.reports = append(m.reports, modelReport{owner: r.owner, due: due, report: message.GrantReport{
		Fence: r.owner.fence, Number: r.number, Event: event, Sent: true, Tokens: r.tokens,
		Elapsed: time.Duration(r.tokens) * 20 * time.Millisecond,
	}})
}

// advance moves the clock and delivers the grant reports that become due.
func (m *model) advance(d time.Duration) {
	until := m.now.Add(d)
	for len(m.reports) > 0 && !m.reports[0].due.After(until) {
		r := m.reports[0]
		m.reports = m.reports[1:]
		m.now = r.due
		r.owner.cell.ApplyReport(m.now, r.report)
	}
	m.now = until
	kept := m.grants[:0]
	for _, g := range m.grants {
		if m.now.Before(g.at.Add(modelStartWithin)) {
			kept = append(kept, g)
		}
	}
	m.grants = kept
}

// loadReport returns a load report of an endpoint at the present time.
func (m *model) loadReport(e *modelEndpoint) modelLoad {
	return modelLoad{taken: m.now, incarnation: e.incarnation, report: message.LoadReport{
		Endpoint: e.id, Incarnation: fmt.Sprint(e.incarnation), Running: len(e.running),
		CompletedTotal: int64(e.completed),
	}}
}

// deliverLoad applies a load report at all owners.
func (m *model) deliverLoad(l modelLoad) {
	for _, o := range m.owners {
		o.cell.ApplyLoad(m.now, l.taken, l.report)
		if !l.taken.Before(o.activeFrom) {
			o.incarnations[l.report.Endpoint] = l.incarnation
		}
	}
}

// finishRequest completes a running request.
func (m *model) finishRequest(e *modelEndpoint, i int) {
	r := e.running[i]
	e.running = append(e.running[:i:i], e.running[i+1:]...)
	e.completed++
	r.tokens += 10
	if !r.unreported {
		m.sendReport(r, message.GrantCompleted)
	}
}

// setDataCentreOut closes the data centre to new work or opens it again. Work that completed before its return raises
// no limits.
func (m *model) setDataCentreOut(out bool) {
	if m.dataCentreOut && !out {
		for _, e := range m.endpoints {
			e.uncredited = e.completed
			m.markOutdated(e)
		}
	}
	m.dataCentreOut = out
	for _, o := range m.owners {
		m.dispatch(o)
	}
}

// markOutdated marks the grants waiting to start on an endpoint as based on an earlier state of it.
func (m *model) markOutdated(e *modelEndpoint) {
	for i := range m.grants {
		if m.grants[i].grant.Endpoint.ID == e.id {
			m.grants[i].current = false
		}
	}
}
