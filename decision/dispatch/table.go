package dispatch

import (
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"azuredyke.dev/azuredyke/decision/fleet"
	"azuredyke.dev/azuredyke/decision/placement"
	"azuredyke.dev/azuredyke/decision/retry"
)

// othersSilence is how long the load of the other nodes counts after it was last heard of.
const othersSilence = 3 * time.Second

// Table is the state of placement at one node. It belongs to one task.
type Table struct {
	// started is when the node was started: what its process before sent counts for the cold limit and is not known.
	started   time.Time
	params    Params
	nodes     int
	endpoints map[string]*endpoint
	services  map[string][]*endpoint
	runs      map[uint64]*run
	budgets   map[string]*retry.WindowBudget
	// heard is when the load of the others was last reported.
	heard  time.Time
	number uint64
	// changed is set when the node's own load is not what Own returned last.
	changed bool

	random                      *rand.Rand
	engine, engineStrict, plain *placement.Policy
	candidates                  []*placement.Candidate
	eligible                    []*endpoint
}

// NewTable returns a table without endpoints, of a node that was started at the given time.
func NewTable(started time.Time, params Params, random *rand.Rand) *Table {
	return &Table{
		started: started, params: params, nodes: 1, endpoints: map[string]*endpoint{}, services: map[string][]*endpoint{},
		runs: map[uint64]*run{}, budgets: map[string]*retry.WindowBudget{},
		random:       random,
		engine:       placement.NewSharedEnginePolicy(random, false),
		engineStrict: placement.NewSharedEnginePolicy(random, true),
		plain:        placement.NewSharedPlainPolicy(random),
	}
}

// SetParams puts other bounds in force. The length of the retry window stays as it was at the start.
func (t *Table) SetParams(p Params) {
	p.RetryWindow = t.params.RetryWindow
	t.params = p
}

// SetNodes sets the number of nodes that share the limits. It never falls below the largest number that was known, since
// a node that is out of touch keeps using its share.
func (t *Table) SetNodes(n int) { t.nodes = max(t.nodes, n) }

// SetSnapshot takes over the endpoints of a snapshot.
func (t *Table) SetSnapshot(now time.Time, s *fleet.Snapshot) {
	before := t.endpoints
	t.changed = true
	t.endpoints = make(map[string]*endpoint, len(before))
	t.services = map[string][]*endpoint{}
	if s.Configuration == nil {
		return
	}
	for name, list := range s.Endpoints {
		service := s.Configuration.Services[name]
		if service == nil {
			continue
		}
		for _, listed := range list {
			e := before[listed.ID]
			if e == nil || !e.Same(&listed.Endpoint) {
				e = &endpoint{}
			}
			wasOut := e.out
			e.Endpoint, e.service, e.out = listed, service, s.Out[listed.DataCentre]
			if listed.ColdUntil.Add(coldMargin).After(e.coldUntil) && listed.ColdFor > 0 {
				e.coldUntil = listed.ColdUntil.Add(coldMargin)
			}
			if wasOut && !e.out {
				// Endpoints may have become cold while their data centre was out, before their entries say so.
				e.coldUntil = now.Add(service.ColdStart + coldMargin)
			}
			t.endpoints[e.ID] = e
			t.services[name] = append(t.services[name], e)
		}
	}
}

// SetOthers takes over what all other nodes have in flight together.
func (t *Table) SetOthers(now time.Time, loads []Load) {
	t.heard = now
	for _, e := range t.endpoints {
		e.others = Load{}
	}
	for _, l := range loads {
		if e := t.endpoints[l.Endpoint]; e != nil {
			e.others = l
		}
	}
}

// Expire forgets the load of the others when nothing has been heard of it for long.
func (t *Table) Expire(now time.Time) {
	if now.Sub(t.heard) >= othersSilence {
		for _, e := range t.endpoints {
			e.others = Load{}
		}
	}
}

// Changed reports whether the node's own load has changed since Own was called.
func (t *Table) Changed() bool { return t.changed }

// Own returns what this node has in flight, sorted by endpoint.
func (t *Table) Own() []Load {
	t.changed = false
	var loads []Load
	for id, e := range t.endpoints {
		if l := e.own; l != (Load{}) {
			l.Endpoint = id
			loads = append(loads, l)
		}
	}
	slices.SortFunc(loads, func(a, b Load) int { return strings.Compare(a.Endpoint, b.Endpoint) })
	return loads
}

// BusyEngines returns the model engines that run requests of this node and are not known to leave.
func (t *Table) BusyEngines() []fleet.Endpoint {
	var busy []fleet.Endpoint
	for _, id := range slices.Sorted(maps.Keys(t.endpoints)) {
		if e := t.endpoints[id]; e.service.Engine != nil && e.own.InFlight > 0 && !e.Leaving && !e.leaves {
			busy = append(busy, e.Endpoint)
		}
	}
	return busy
}

// Leaves notes that an endpoint itself said that it leaves, before its entry does.
func (t *Table) Leaves(id string) {
	if e := t.endpoints[id]; e != nil {
		e.leaves = true
	}
}

// Requested counts a new request of a service for the retry budget.
func (t *Table) Requested(now time.Time, service string) { t.budget(service).Requested(now) }

func (t *Table) budget(service string) *retry.WindowBudget {
	b := t.budgets[service]
	if b == nil {
		b = retry.NewWindowBudget(t.params.RetryWindow)
		t.budgets[service] = b
	}
	return b
}

// Began notes the first event of a run, after which its prompt is no longer computed.
func (t *Table) Began(number uint64) {
	r := t.runs[number]
	if r == nil || r.began {
		return
	}
	r.began, t.changed = true, true
	r.endpoint.own.Prefill -= r.prefill
}

// Release ends a run and learns from its outcome.
func (t *Table) Release(now time.Time, number uint64, o Outcome) {
	r := t.runs[number]
	if r == nil {
		return
	}
	delete(t.runs, number)
	t.changed = true
	e := r.endpoint
	e.own.InFlight--
	e.own.Tokens -= r.tokens
	if !r.began {
		e.own.Prefill -= r.prefill
	}
	e.ended(now, o)
	if r.backup != nil {
		r.backup.own.Tokens -= r.copied
	}
}
