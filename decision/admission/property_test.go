package admission

import (
	"fmt"
	"testing"
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

// modelRequest is a request that an endpoint runs.
type modelRequest struct {
	owner  *modelOwner
	number uint64
	// informed is set when the owner knew the endpoint's process when it made the grant, and the data centre has not been
	// out between the grant and the start.
	informed bool
	// silent is set when the gateway died or lost the connection, so that nobody reports the end.
	silent bool
	tokens int
}

// modelEndpoint is the truth about an endpoint.
type modelEndpoint struct {
	id          string
	incarnation int
	running     []*modelRequest
	completed   int
	// base is the completed work that does not count, since the data centre was out afterwards.
	base int
}

// modelOwner is one owner of the cell. The newest one is confirmed unless its lease is in doubt; older ones are not.
type modelOwner struct {
	cell  *Cell
	fence uint64
	// known is the incarnation of each endpoint that the owner was told last.
	known map[string]int
	// start is when grants of the owner may exist at the earliest.
	start time.Time
}

// modelGrant is a grant whose request was not sent yet.
type modelGrant struct {
	owner    *modelOwner
	grant    message.Grant
	at       time.Time
	informed bool
}

// modelReport is a report on its way to an owner.
type modelReport struct {
	owner  *modelOwner
	report message.GrantReport
	due    time.Time
}

// modelLoad is a load report on its way.
type modelLoad struct {
	report message.LoadReport
	number int
	taken  time.Time
}

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

// drawRunning returns an endpoint with running work and the position of one of its requests.
func (m *model) drawRunning(t *rapid.T) (*modelEndpoint, int) {
	e := rapid.SampledFrom(m.endpoints).Draw(t, "endpoint")
	if len(e.running) == 0 {
		t.Skip("nothing runs")
	}
	return e, rapid.IntRange(0, len(e.running)-1).Draw(t, "request")
}

// steps are the events of the model. Those that let work start and end occur several times, so that they are drawn more
// often than faults.
func (m *model) steps() map[string]func(*rapid.T) {
	steps := m.faults()
	for name, step := range m.work() {
		for i := range 4 {
			steps[fmt.Sprint(name, " ", i)] = step
		}
	}
	return steps
}

// work are the events of normal operation.
func (m *model) work() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"place": func(t *rapid.T) {
			o := m.owner()
			if rapid.IntRange(0, 9).Draw(t, "old owner") == 0 {
				o = rapid.SampledFrom(m.owners).Draw(t, "owner")
			}
			for range rapid.IntRange(1, 5).Draw(t, "requests") {
				m.ticket++
				o.cell.Enqueue(m.now, Waiting{Ticket: m.ticket, Deadline: m.now.Add(10 * time.Second)})
			}
			m.dispatch(o)
		},
		"dispatch": func(*rapid.T) {
			for _, o := range m.owners {
				m.dispatch(o)
			}
		},
		"start": func(t *rapid.T) {
			n := rapid.IntRange(0, len(m.grants)).Draw(t, "grants")
			starting := m.grants[:n]
			m.grants = m.grants[n:]
			for _, g := range starting {
				m.start(g)
			}
		},
		"fresh load reports": func(*rapid.T) {
			for _, e := range m.endpoints {
				m.deliver(m.load(e))
			}
		},
		"progress": func(t *rapid.T) {
			e, i := m.drawRunning(t)
			if r := e.running[i]; !r.silent {
				r.tokens += 5
				m.report(r, message.GrantProgress)
			}
		},
		"finish": func(t *rapid.T) {
			e, i := m.drawRunning(t)
			m.finish(e, i)
		},
		"finish all": func(*rapid.T) {
			for _, e := range m.endpoints {
				for len(e.running) > 0 {
					m.finish(e, 0)
				}
			}
		},
		"lease confirmed":  func(*rapid.T) { m.confirmed = true },
		"data centre back": func(*rapid.T) { m.setOut(false) },
		"advance": func(t *rapid.T) {
			m.advance(time.Duration(rapid.SampledFrom([]int{1, 200, 1000}).Draw(t, "ms")) * time.Millisecond)
		},
	}
}

// faults are the events that go wrong.
func (m *model) faults() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"lose reply": func(t *rapid.T) {
			if len(m.grants) == 0 {
				t.Skip("no grants")
			}
			m.grants = m.grants[1:]
		},
		"stall": func(t *rapid.T) {
			e, i := m.drawRunning(t)
			if r := e.running[i]; !r.silent {
				m.report(r, message.GrantStalled)
			}
		},
		"break connection": func(t *rapid.T) {
			e, i := m.drawRunning(t)
			if r := e.running[i]; !r.silent {
				r.silent = true
				m.report(r, message.GrantFailed)
			}
		},
		"gateway dies": func(t *rapid.T) {
			e, i := m.drawRunning(t)
			e.running[i].silent = true
		},
		"restart endpoint": func(t *rapid.T) {
			e := rapid.SampledFrom(m.endpoints).Draw(t, "endpoint")
			for _, r := range e.running {
				if !r.silent {
					m.report(r, message.GrantFailed)
				}
			}
			e.running, e.completed, e.base = nil, 0, 0
			e.incarnation++
			m.outdate(e)
		},
		"take load report": func(t *rapid.T) {
			m.loads = append(m.loads, m.load(rapid.SampledFrom(m.endpoints).Draw(t, "endpoint")))
		},
		"deliver load report": func(t *rapid.T) {
			if len(m.loads) == 0 {
				t.Skip("no reports")
			}
			for _, l := range m.loads {
				m.deliver(l)
			}
			m.loads = nil
		},
		"load reports fail": func(t *rapid.T) {
			e := rapid.SampledFrom(m.endpoints).Draw(t, "endpoint")
			for range defaultLoadFailures {
				m.owner().cell.LoadFailed(m.now, e.id)
			}
		},
		"long wait": func(t *rapid.T) {
			m.advance(time.Duration(rapid.SampledFrom([]int{2, 5, 15}).Draw(t, "s")) * time.Second)
		},
		"take over": func(t *rapid.T) {
			if len(m.owners) == 3 || rapid.IntRange(0, 4).Draw(t, "chance") > 0 {
				t.Skip("no takeover")
			}
			m.takeOver()
		},
		"lease in doubt":  func(*rapid.T) { m.confirmed = false },
		"data centre out": func(*rapid.T) { m.setOut(true) },
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

// settle lets everything end and checks that no place is lost: the newest owner charges nothing, and work starts again on
// every endpoint.
func (m *model) settle() {
	m.setOut(false)
	m.confirmed = true
	m.grants = nil
	for _, e := range m.endpoints {
		for len(e.running) > 0 {
			m.finish(e, 0)
		}
	}
	o := m.owner()
	m.loads = nil
	for range 400 {
		m.advance(200 * time.Millisecond)
		for _, e := range m.endpoints {
			m.deliver(m.load(e))
		}
		m.dispatch(o)
		m.grants = nil // Nobody starts the requests that still waited.
	}
	for _, e := range o.cell.View().Endpoints {
		if e.InFlight != 0 {
			m.t.Fatalf("%s has %d requests in flight although nothing runs", e.Endpoint.ID, e.InFlight)
		}
	}
	served := map[string]bool{}
	for range 100 {
		m.ticket++
		o.cell.Enqueue(m.now, Waiting{Ticket: m.ticket, Deadline: m.now.Add(time.Minute)})
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
			m.deliver(m.load(e))
		}
	}
	if len(served) != len(m.endpoints) {
		m.t.Fatalf("work starts on %d of %d endpoints", len(served), len(m.endpoints))
	}
}

// Guards against an order of placements, reports, load reports, takeovers, restarts and outages in which an endpoint gets
// more requests than it bears in a cold start, or in which a place is lost for ever.
func TestNoOrderOfEventsExceedsColdLimitsOrLosesPlaces(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		t.Repeat(m.steps())
		m.settle()
	})
}
