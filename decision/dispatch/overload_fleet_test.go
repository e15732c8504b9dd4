package dispatch

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"azuredyke.dev/azuredyke/common/catalog"
	"azuredyke.dev/azuredyke/decision/fleet"
	"azuredyke.dev/azuredyke/decision/overload"
)

const (
	overloadNodes      = 87
	overloadWorkspaces = 24
	// historyInterval is the interval at which loads are recorded; a node sees them 15 to 50 ms later.
	historyInterval = 5
	loadInterval    = 25
	waveInterval    = 3300
)

// overloadNode is a node with its own table, which knows the load of the other nodes only with a delay.
type overloadNode struct {
	table   *Table
	queue   *Queue
	waiting []*overloadRun
	delay   int
	own     map[string]Load
	// pressure is what the node last reported.
	pressure overload.Pressure
}

// loadRecord is the load of all nodes at one moment.
type loadRecord struct {
	ids   []string
	total map[string]Load
	own   []map[string]Load
	// pressure is that of each node.
	pressure    []overload.Pressure
	allPressure overload.Pressure
}

// overloadFleet is a simulation of nodes and engines. One pass of tick is one millisecond.
type overloadFleet struct {
	ordered      bool
	random       *rand.Rand
	classes      []*overloadClass
	nodes        []*overloadNode
	engines      []*overloadEngine
	started      int
	history      []loadRecord
	lastPressure overload.Pressure
	open         []*overloadRun
	byHeld       map[*HeldRequest]*overloadRun
	results      map[string]*overloadResult
	// departures is the share of the engines that leave in each wave.
	departures float64
	// log holds the results for the output of a test.
	log []any
	// rate returns the factor of a class's load.
	rate func(now int, c *overloadClass) float64
	// copiesRefused counts the copies for which the destination had no memory.
	copies, copiesRefused int
	// isolated reports whether a node hears nothing of the others.
	isolated func(now, node int) bool
}

func newOverloadFleet(seed uint64, ordered bool, engines int, classes ...*overloadClass) *overloadFleet {
	f := &overloadFleet{
		ordered: ordered, random: rand.New(rand.NewPCG(seed, 1)), classes: classes, byHeld: map[*HeldRequest]*overloadRun{},
		results: map[string]*overloadResult{}, rate: func(int, *overloadClass) float64 { return 1 },
		isolated: func(int, int) bool { return false },
	}
	for _, c := range classes {
		f.results[c.name] = &overloadResult{}
	}
	p := params
	p.OrderedAdmission = ordered
	for i := range overloadNodes {
		table := NewTable(start.Add(-time.Hour), p, rand.New(rand.NewPCG(seed, uint64(i+2))))
		table.SetNodes(overloadNodes)
		f.nodes = append(f.nodes, &overloadNode{table: table, queue: NewQueue(table), delay: 15 + f.random.IntN(36)})
	}
	f.addEngines(0, engines)
	return f
}

func (f *overloadFleet) addEngines(now, n int) {
	for range n {
		f.started++
		f.engines = append(f.engines, &overloadEngine{id: fmt.Sprintf("e%03d", f.started)})
	}
	f.publish(now)
}

// publish gives all nodes the endpoints.
func (f *overloadFleet) publish(now int) {
	c := &catalog.Configuration{Services: map[string]*catalog.Service{"s": {
		Name: "s", Engine: &catalog.Engine{Slots: overloadSlots, Capacity: overloadMemory, SupportsMoves: true},
	}}}
	for _, class := range f.classes {
		c.Routes = append(c.Routes, catalog.Route{
			Priority: class.priority, FirstByteObjective: milliseconds(class.objective), Shares: []catalog.Share{{Service: "s", Weight: 1}},
		})
	}
	s := &fleet.Snapshot{Configuration: c, Endpoints: map[string][]fleet.Endpoint{}}
	for _, e := range f.engines {
		s.Endpoints["s"] = append(s.Endpoints["s"], fleet.Endpoint{
			Endpoint: catalog.Endpoint{ID: e.id, Service: "s", Slots: overloadSlots, Leaving: e.leavesAt > 0},
		})
	}
	for _, n := range f.nodes {
		n.table.SetSnapshot(at(now), s)
	}
}

// run simulates the given time and lets the requests end that are open then.
func (f *overloadFleet) run(until int) map[string]*overloadResult {
	for now := 1; now < until || len(f.open) > 0; now++ {
		if now < until {
			f.arrive(now)
			if now%waveInterval == 0 && f.departures > 0 {
				f.leave(now, f.departures)
			}
		}
		f.advanceEngines(now)
		if now%historyInterval == 0 {
			f.recordLoads()
		}
		for i, n := range f.nodes {
			if (now+i)%loadInterval == 0 {
				f.updateNode(now, i, n)
			}
		}
		f.endOverdue(now)
	}
	return f.results
}

func (f *overloadFleet) arrive(now int) {
	for _, c := range f.classes {
		if f.random.Float64() >= c.perSecond*f.rate(now, c)/1000 {
			continue
		}
		// The square makes a few workspaces large.
		workspace := int(f.random.Float64() * f.random.Float64() * overloadWorkspaces)
		f.offer(now, &overloadRun{class: c, workspace: cmp.Or(c.workspace, fmt.Sprint("w", workspace))})
	}
}

func (f *overloadFleet) offer(now int, r *overloadRun) {
	r.arrived, r.node, r.output = now, f.random.IntN(overloadNodes), r.class.output
	r.waitUntil = now + r.class.objective/8
	f.results[r.class.name].requests++
	if r.workspace != "w0" {
		f.results[r.class.name].others++
	}
	f.open = append(f.open, r)
	n := f.nodes[r.node]
	if f.ordered {
		r.held = r.hold()
		f.byHeld[r.held] = r
		f.apply(now, n.queue.Offer(at(now), r.held))
		return
	}
	n.waiting = append(n.waiting, r)
	f.placeUnordered(now, n)
}

// placeUnordered places the requests of a node as the dispatcher does without ordered admission.
func (f *overloadFleet) placeUnordered(now int, n *overloadNode) {
	slices.SortStableFunc(n.waiting, func(a, b *overloadRun) int { return a.class.priority - b.class.priority })
	n.waiting = slices.DeleteFunc(n.waiting, func(r *overloadRun) bool {
		request := r.request()
		request.RequireMemoryFit = now < r.waitUntil
		placed, refusal := n.table.Place(at(now), request)
		if refusal != "" && now < r.waitUntil {
			return r.ended
		}
		f.begin(now, r, placed, refusal)
		return true
	})
}

func (f *overloadFleet) apply(now int, decisions []Decision) {
	for _, d := range decisions {
		f.begin(now, f.byHeld[d.Held], d.Placement, d.Refusal)
		delete(f.byHeld, d.Held)
	}
}

// begin sends a placed request to its engine.
func (f *overloadFleet) begin(now int, r *overloadRun, placed Placement, refusal Refusal) {
	e := f.engine(placed.Endpoint.ID)
	switch {
	case refusal != "" || r.ended:
		f.end(now, r, false)
	case e == nil:
		r.number = placed.Run
		f.end(now, r, false)
	default:
		r.number, r.engine, r.prefill = placed.Run, e, r.class.prompt
		e.waiting = append(e.waiting, r)
	}
}

func (f *overloadFleet) engine(id string) *overloadEngine {
	for _, e := range f.engines {
		if e.id == id {
			return e
		}
	}
	return nil
}
