package dispatch

import (
	"fmt"
	"math/rand/v2"
	"time"

	"azuredyke.dev/azuredyke/common/catalog"
	"azuredyke.dev/azuredyke/decision/fleet"
	"azuredyke.dev/azuredyke/decision/prefix"
)

// simulatedNode is a node with its table, and the loads of the others that it has received.
type simulatedNode struct {
	table *Table
	alone bool
}

// speedSimulation is deployment B of docs/rollouts-and-load.md in virtual time: 63 nodes and 44 engines in 4 data centres, two
// thirds of which work at 0.7 and a third at 1.7 times the usual time, each 2.5 times slower in 15% of the periods of 600 ms. Every
// 50 ms each node receives the others' load of 50 ms before.
type speedSimulation struct {
	random  *rand.Rand
	nodes   []*simulatedNode
	engines []*simulatedEngine
	byID    map[string]*simulatedEngine
	load    float64
	now     time.Time
	pending [][]Load

	ended, late, paused, refused int
	placed, crossed              int
	firstSum                     time.Duration
	longOn                       map[string]int

	// chain returns the parts of the next prompt; nil for prompts without known parts.
	chain         func(long bool) prefix.Chain
	prompted      int
	expectedSaved float64
}

func newSpeedSimulation(seed uint64, enabled bool, load float64) *speedSimulation {
	s := &speedSimulation{random: rand.New(rand.NewPCG(seed, 1)), byID: map[string]*simulatedEngine{}, load: load, now: start, longOn: map[string]int{}}
	snapshot := &fleet.Snapshot{
		Configuration: &catalog.Configuration{Services: map[string]*catalog.Service{"s": {
			Name: "s", Engine: &catalog.Engine{Slots: simulatedSlots, Capacity: simulatedMemory},
		}}},
		Out: map[string]bool{}, Endpoints: map[string][]fleet.Endpoint{},
	}
	for i := range 44 {
		e := &simulatedEngine{id: fmt.Sprintf("e%02d", i), slowdown: 0.7, freeAt: start}
		if i%3 == 2 {
			e.slowdown = 1.7
		}
		s.engines, s.byID[e.id] = append(s.engines, e), e
		snapshot.Endpoints["s"] = append(snapshot.Endpoints["s"], fleet.Endpoint{Endpoint: catalog.Endpoint{
			ID: e.id, Service: "s", DataCentre: string(rune('a' + i%4)), Slots: simulatedSlots,
		}})
	}
	for i := range 63 {
		p := params
		p.DataCentre, p.EndpointSpeed = string(rune('a'+i%4)), enabled
		table := NewTable(start.Add(-time.Hour), p, rand.New(rand.NewPCG(seed, uint64(i)+2)))
		table.SetNodes(63)
		table.SetSnapshot(start, snapshot)
		s.nodes = append(s.nodes, &simulatedNode{table: table})
	}
	return s
}

// run simulates some time in steps of 5 ms and calls each before every step.
func (s *speedSimulation) run(d time.Duration, each func()) {
	const step = 5 * time.Millisecond
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(step) {
		if each != nil {
			each()
		}
		if s.random.Float64() < 21.3*s.load*step.Seconds() {
			s.arrive(true)
		}
		if s.random.Float64() < 24*s.load*step.Seconds() {
			s.arrive(false)
		}
		for i, e := range s.engines {
			period := uint64(s.now.Sub(start) / (600 * time.Millisecond))
			slow := 1.0
			if rand.New(rand.NewPCG(period, uint64(i))).Float64() < 0.15 {
				slow = 2.5
			}
			for _, r := range e.advance(s.now.Add(step), slow) {
				s.end(r)
			}
		}
		elapsed := s.now.Sub(start)
		if elapsed%time.Second == 0 {
			for _, n := range s.nodes {
				n.table.ExpireOthersLoad(s.now)
				n.table.ShareSpeeds(s.now)
			}
		}
		if elapsed%(50*time.Millisecond) == 0 {
			s.exchange()
		}
	}
}

// arrive places one request at a random node.
func (s *speedSimulation) arrive(long bool) {
	n := s.nodes[s.random.IntN(len(s.nodes))]
	r := &simulatedRun{node: n, long: long, prompt: 2550, tokens: 8, sentAt: s.now}
	if long {
		r.prompt, r.tokens = 3079, 748
	}
	if s.chain != nil {
		r.chain = s.chain(long)
	}
	placed, refusal := n.table.Place(s.now, Request{Service: "s", PromptTokens: r.prompt, Tokens: r.prompt + r.tokens, Prompt: r.chain})
	if refusal != "" {
		s.refused++
		return
	}
	s.placed++
	s.prompted += r.prompt
	s.expectedSaved += placed.CachedTokens
	if placed.Endpoint.DataCentre != n.table.params.DataCentre {
		s.crossed++
	}
	e := s.byID[placed.Endpoint.ID]
	if r.number = placed.Run; long {
		s.longOn[e.id]++
	}
	e.waiting = append(e.waiting, r)
}

func (s *speedSimulation) end(r *simulatedRun) {
	r.node.table.Release(s.now, r.number, Succeeded)
	s.ended++
	s.firstSum += r.first
	objective := 1500 * time.Millisecond
	if r.long {
		objective = 1800 * time.Millisecond
	}
	if r.first > objective {
		s.late++
	}
	if r.pause > 180*time.Millisecond {
		s.paused++
	}
}

// exchange gives each node that is not alone the sum of the others' loads of one exchange before.
func (s *speedSimulation) exchange() {
	// Every node gets what each engine states, far more often than answers bring it.
	for _, e := range s.engines {
		for _, n := range s.nodes {
			if e.stated != nil {
				n.table.endpoints[e.id].speed.RecordState(s.now, e.stated(e, s.now))
			}
		}
	}
	previous := s.pending
	s.pending = nil
	total := map[string]Load{}
	for _, n := range s.nodes {
		loads := n.table.OwnLoads()
		s.pending = append(s.pending, loads)
	}
	if previous == nil {
		return
	}
	add := func(id string, l Load, sign int) {
		t := total[id]
		t.Endpoint, t.InFlight, t.Tokens, t.Prefill = id, t.InFlight+sign*l.InFlight, t.Tokens+sign*l.Tokens, t.Prefill+sign*l.Prefill
		t.SpeedSum, t.SpeedCount = t.SpeedSum+sign*l.SpeedSum, t.SpeedCount+sign*l.SpeedCount
		total[id] = t
	}
	for i, loads := range previous {
		for _, l := range loads {
			if !s.nodes[i].alone {
				add(l.Endpoint, l, 1)
			}
		}
	}
	for i, n := range s.nodes {
		if n.alone {
			continue
		}
		for _, l := range previous[i] {
			add(l.Endpoint, l, -1)
		}
		var others []Load
		for _, e := range s.engines {
			if l := total[e.id]; l != (Load{Endpoint: e.id}) && l != (Load{}) {
				others = append(others, l)
			}
		}
		n.table.SetOthersLoad(s.now, others)
		for _, l := range previous[i] {
			add(l.Endpoint, l, 1)
		}
	}
}

// longRatio returns how many times as often long runs were placed on the fastest third of the engines as on the slowest.
func (s *speedSimulation) longRatio() float64 {
	fast, slow := 0, 0
	for i, e := range s.engines {
		if i%3 == 2 {
			slow += s.longOn[e.id]
		} else if i%3 == 0 {
			fast += s.longOn[e.id]
		}
	}
	return float64(fast) / float64(max(1, slow))
}

func (s *speedSimulation) String() string {
	most := 0
	for _, e := range s.engines {
		most = max(most, e.maxBatch)
	}
	return fmt.Sprintf("ratio %.2f, %d ended, %d late, %d with a long pause, %d refused, %d%% crossed, mean first event %v, largest batch %d", s.longRatio(),
		s.ended, s.late, s.paused, s.refused, 100*s.crossed/max(1, s.placed), s.firstSum/time.Duration(max(1, s.ended)), most)
}
