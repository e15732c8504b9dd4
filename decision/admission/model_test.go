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
	// modelDelay is the longest time from an event at a gateway to its report at the owner; it is below reportLag.
	modelDelay = 800 * time.Millisecond
)

// model runs owners against endpoints whose truth it knows.
type model struct {
	t         *rapid.T
	now       time.Time
	endpoints []*modelEndpoint
	owners    []*modelOwner
	grants    []modelGrant
	reports   []modelReport
	loads     []modelLoad
	confirmed bool
	out       bool
	ticket    uint64
	granted   int
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

// takeOver gives the cell to a new owner; the old one does not notice.
func (m *model) takeOver() {
	o := &modelOwner{fence: uint64(len(m.owners) + 1), known: map[string]int{}, start: m.now.Add(modelStartWithin)}
	o.cell = NewCell("cell", o.fence, o.start, Params{
		StartWithin: modelStartWithin, ColdLimit: modelColdLimit, MaxConcurrency: modelConcurrency, MaxQueue: 20,
	})
	o.cell.SetEndpoints(m.now, m.list(), nil)
	m.owners = append(m.owners, o)
	m.confirmed = true
}

func (m *model) list() []message.Endpoint {
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

// dispatch lets an owner decide. Only the newest may be confirmed.
func (m *model) dispatch(o *modelOwner) {
	a := Authority{Owned: true, Confirmed: o == m.owner() && m.confirmed, Out: m.out}
	for _, d := range o.cell.Dispatch(m.now, a) {
		if d.Reply.Grant == nil {
			continue
		}
		g := *d.Reply.Grant
		e := m.endpoint(g.Endpoint.ID)
		known, ok := o.known[e.id]
		m.granted++
		m.grants = append(m.grants, modelGrant{
			owner: o, grant: g, at: m.now, informed: ok && known == e.incarnation,
		})
	}
}

// start sends a granted request. The check is the property: an endpoint bears the cold limit and one more request for
// each that it completed.
func (m *model) start(g modelGrant) {
	e := m.endpoint(g.grant.Endpoint.ID)
	r := &modelRequest{owner: g.owner, number: g.grant.Number, informed: g.informed}
	e.running = append(e.running, r)
	m.report(r, message.GrantStarted)
	if !g.informed {
		return
	}
	informed := 0
	for _, x := range e.running {
		if x.informed {
			informed++
		}
	}
	if limit := min(modelConcurrency, modelColdLimit+e.completed-e.base); informed > limit {
		m.t.Fatalf("%s runs %d requests; it bears %d", e.id, informed, limit)
	}
}

// report sends a report of a request to its owner.
func (m *model) report(r *modelRequest, event message.GrantEvent) {
	delay := time.Duration(rapid.IntRange(0, int(modelDelay/time.Millisecond)).Draw(m.t, "delay")) * time.Millisecond
	due := m.now.Add(delay)
	if n := len(m.reports); n > 0 && m.reports[n-1].due.After(due) {
		due = m.reports[n-1].due
	}
	m.reports = append(m.reports, modelReport{owner: r.owner, due: due, report: message.GrantReport{
		Fence: r.owner.fence, Number: r.number, Event: event, Sent: true, Tokens: r.tokens,
		Elapsed: time.Duration(r.tokens) * 20 * time.Millisecond,
	}})
}

// advance moves the clock and delivers the reports that are due on the way.
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

// load takes a load report of an endpoint.
func (m *model) load(e *modelEndpoint) modelLoad {
	return modelLoad{taken: m.now, number: e.incarnation, report: message.LoadReport{
		Endpoint: e.id, Incarnation: fmt.Sprint(e.incarnation), Running: len(e.running),
		CompletedTotal: int64(e.completed),
	}}
}

// deliver gives a load report to all owners.
func (m *model) deliver(l modelLoad) {
	for _, o := range m.owners {
		o.cell.ApplyLoad(m.now, l.taken, l.report)
		if !l.taken.Before(o.start) {
			o.known[l.report.Endpoint] = l.number
		}
	}
}

// finish completes a running request.
func (m *model) finish(e *modelEndpoint, i int) {
	r := e.running[i]
	e.running = append(e.running[:i:i], e.running[i+1:]...)
	e.completed++
	r.tokens += 10
	if !r.silent {
		m.report(r, message.GrantCompleted)
	}
}

// setOut takes the data centre out or back in. Work that was completed before its return raises no limits.
func (m *model) setOut(out bool) {
	if m.out && !out {
		for _, e := range m.endpoints {
			e.base = e.completed
			m.outdate(e)
		}
	}
	m.out = out
	for _, o := range m.owners {
		m.dispatch(o)
	}
}

// outdate notes that the grants that wait to start on an endpoint were made for its state before.
func (m *model) outdate(e *modelEndpoint) {
	for i := range m.grants {
		if m.grants[i].grant.Endpoint.ID == e.id {
			m.grants[i].informed = false
		}
	}
}
