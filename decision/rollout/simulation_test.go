package rollout

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

const (
	simulatedNodes    = 72
	simulatedDuration = 12 * time.Second
	simulatedShare    = 0.08
	// permittedShare, permittedSlack, permittedBad and rollbackTime are the users' bounds.
	permittedShare = 0.1
	permittedSlack = 50
	permittedBad   = 50
	rollbackTime   = 5 * time.Second
	reportInterval = 250 * time.Millisecond
)

// simulation plays one roll-out in virtual time: requests, endpoints of two versions, nodes with their exposure, and the judge.
type simulation struct {
	simulationCase
	random  *rand.Rand
	now     time.Duration
	events  eventQueue
	nodes   []*simulatedNode
	old     []*simulatedEndpoint
	target  []*simulatedEndpoint
	canary  Canary
	byID    map[string]*simulatedEndpoint
	plan    Plan
	judge   *Judge
	tallies NodeTallies
	// strength is the share of failures or the slowdown of a bad version, from onset on.
	strength float64
	onset    time.Duration
	// faultyRoute is the route of a fault on one route.
	faultyRoute *simulatedRoute
	// commonFrom is the beginning of a common fault, handOver the time that nodes need to confirm promoting.
	commonFrom, handOver time.Duration
	promotedAt           time.Duration
	badAnswers           int
	// stopAt is the time after which requests to the target are late.
	stopAt time.Duration
	result simulationResult
}

// simulate plays one seed of a case.
func simulate(c simulationCase, seed uint64) simulationResult {
	s := &simulation{
		simulationCase: c, random: rand.New(rand.NewPCG(seed, 1)), judge: NewJudge(DefaultJudgeParams()), byID: map[string]*simulatedEndpoint{},
		plan:   Plan{Order: Order{Service: "s", Target: "v2", Duration: simulatedDuration, Revision: int64(seed)}, Phase: Observing},
		stopAt: math.MaxInt64, result: simulationResult{runs: 1, reasons: map[string]int{}},
	}
	s.strength = 0.2 + 0.4*s.random.Float64()
	if c.fault == slow {
		s.strength = 3 + 5*s.random.Float64()
	}
	s.onset = c.from + time.Duration(s.random.Float64()*float64(c.to-c.from))
	s.faultyRoute = &c.service.routes[s.random.IntN(len(c.service.routes))]
	s.commonFrom = s.between(0, 8*time.Second)
	s.handOver = s.between(time.Second, 3*time.Second)
	for range simulatedNodes {
		n := &simulatedNode{exposure: NewExposure(s.random, simulatedShare, simulatedNodes), phase: Observing}
		s.nodes = append(s.nodes, n)
		s.after(s.between(0, reportInterval), func() { s.report(n) })
	}
	var ids []string
	for i := range c.service.endpoints {
		s.old = append(s.old, s.endpoint(OldGroup, i, -time.Hour))
		s.target = append(s.target, s.endpoint(TargetGroup, i, s.between(200*time.Millisecond, 1500*time.Millisecond)))
		ids = append(ids, s.target[i].id)
	}
	s.canary = NewCanary(s.plan.Order, simulatedShare, len(s.old), ids)
	for i := range c.service.routes {
		s.after(0, func() { s.arrive(&c.service.routes[i]) })
	}
	s.disturb()
	s.after(0, s.decide)
	s.play()
	return s.finish()
}

func (s *simulation) endpoint(g Group, i int, startedAt time.Duration) *simulatedEndpoint {
	e := &simulatedEndpoint{id: fmt.Sprint(g, "/", i), group: g, startedAt: startedAt, running: map[*simulatedRun]bool{}}
	s.byID[e.id] = e
	return e
}

func (s *simulation) between(from, to time.Duration) time.Duration {
	return from + time.Duration(s.random.Float64()*float64(to-from))
}

func (s *simulation) after(d time.Duration, run func()) {
	heap.Push(&s.events, simulatedEvent{at: s.now + d, run: run})
}

// play runs the events until the deadline.
func (s *simulation) play() {
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(simulatedEvent)
		if e.at > simulatedDuration {
			return
		}
		s.now = e.at
		e.run()
	}
}

// finish returns the result of the run.
func (s *simulation) finish() simulationResult {
	switch s.plan.Phase {
	case Completed:
		s.result.completed++
	case Reverted:
		s.result.reverted++
	default:
		s.result.open++
	}
	s.result.excess = float64(s.result.targetSends) - permittedShare*float64(s.result.sends) - permittedSlack
	if s.result.excess > 0 {
		s.result.overExposed++
	}
	return s.result
}

// report sends the tally of a node to the decider.
func (s *simulation) report(n *simulatedNode) {
	s.after(reportInterval, func() { s.report(n) })
	n.sequence++
	id, version, tally := fmt.Sprintf("%p", n), TallyVersion{Epoch: 1, Sequence: n.sequence}, n.tally.Clone()
	s.after(s.between(15*time.Millisecond, 80*time.Millisecond), func() { s.tallies.Apply(id, version, tally) })
}

// decide asks the judge, and sends the plan to the nodes when it changes.
func (s *simulation) decide() {
	s.after(reportInterval/2, s.decide)
	e := Evidence{Elapsed: s.now, Tally: s.tallies.Sum(), OldEndpoints: s.admitting(s.old), TargetEndpoints: s.admitting(s.target)}
	if s.plan.Phase != Promoting || s.now < s.promotedAt+s.handOver {
		e.Unconfirmed = simulatedNodes
	}
	d := s.judge.Decide(&s.plan, e)
	if d.Phase == s.plan.Phase {
		return
	}
	if d.Phase == Promoting {
		s.promotedAt = s.now
		s.result.promoted++
	}
	if d.Phase == Reverted {
		s.result.reasons[fmt.Sprintf("%v at %v: %s", s.plan.Phase, s.now.Round(time.Second), d.Reason)]++
	}
	s.plan.Phase, s.plan.Reason = d.Phase, d.Reason
	for _, n := range s.nodes {
		s.after(s.between(20*time.Millisecond, 120*time.Millisecond), func() { n.phase = d.Phase })
	}
}

func (s *simulation) admitting(endpoints []*simulatedEndpoint) int {
	count := 0
	for _, e := range endpoints {
		if e.admits(s.now) {
			count++
		}
	}
	return count
}
