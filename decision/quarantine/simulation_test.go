package quarantine

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"
)

// simulation plays requests, engines and nodes in virtual time, with one table for each node and marks that arrive late or
// are lost and repeated.
type simulation struct {
	random  *rand.Rand
	options simulationOptions
	now     time.Time
	events  eventQueue
	tables  []*Table
	engines []*simulatedEngine
	result  simulationResult
	// fifthCrash is the time of the fifth crash, zero before it.
	fifthCrash time.Time
	nextPart   Fingerprint
}

// simulationOptions are the parameters of one play.
type simulationOptions struct {
	seed           uint64
	nodes, engines int
	// rate is the number of requests per second, deadlyShare the share of them that contains the deadly part.
	rate, deadlyShare float64
	// powerCut is the number of engines that fail at once after 5 s.
	powerCut int
	// markLoss is the share of the marks that are lost on their way to a node.
	markLoss float64
	policy   simulatedPolicy
}

// simulatedPolicy selects what nodes do with the evidence.
type simulatedPolicy string

const (
	noPolicy          simulatedPolicy = "none"
	wholePromptPolicy simulatedPolicy = "whole prompt"
	partsPolicy       simulatedPolicy = "parts"
)

// simulationResult counts what users would notice.
type simulationResult struct {
	enginesLost int
	// sentLate counts the sends of deadly requests later than contactTime after the fifth crash.
	sentLate int
	// soundQuarantined counts the sound requests that were refused for a quarantined part, soundRefused also those that waited
	// for a trial for too long.
	sound, soundRefused, soundQuarantined int
}

type simulatedEngine struct {
	downUntil time.Time
	// waiting holds the runs that have no event yet.
	waiting map[*simulatedRun]bool
}

type simulatedRun struct {
	node     int
	arrived  time.Time
	deadly   bool
	marks    []Mark
	reserved []Fingerprint
	engine   *simulatedEngine
	parts    []Fingerprint
}

type simulatedEvent struct {
	at  time.Time
	run func()
}

type eventQueue []simulatedEvent

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(simulatedEvent)) }
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

const (
	simulatedTime    = 30 * time.Second
	contactTime      = 3 * time.Second
	engineDownTime   = 3 * time.Second
	ambiguityWait    = 900 * time.Millisecond
	ambiguityPoll    = 50 * time.Millisecond
	nodesPerRelay    = 9
	maxRepeated      = 32
	commonParts      = 8
	rareParts        = 110
	crashesPermitted = 5
)

func simulate(o simulationOptions) simulationResult {
	s := &simulation{random: rand.New(rand.NewPCG(o.seed, 1)), options: o, now: time.Unix(0, 0), nextPart: 1 << 40}
	for range o.nodes {
		s.tables = append(s.tables, NewTable())
	}
	for range o.engines {
		s.engines = append(s.engines, &simulatedEngine{waiting: map[*simulatedRun]bool{}})
	}
	end := s.now.Add(simulatedTime)
	s.after(0, s.arrive)
	s.after(time.Second, s.repeatMarks)
	if o.powerCut > 0 {
		s.after(5*time.Second, func() {
			for _, e := range s.engines[:o.powerCut] {
				s.crash(e)
			}
		})
	}
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(simulatedEvent)
		if e.at.After(end) {
			break
		}
		s.now = e.at
		e.run()
	}
	return s.result
}

func (s *simulation) after(d time.Duration, run func()) {
	heap.Push(&s.events, simulatedEvent{at: s.now.Add(d), run: run})
}

// arrive creates one request and schedules the next.
func (s *simulation) arrive() {
	s.after(time.Duration(s.random.ExpFloat64()/s.options.rate*float64(time.Second)), s.arrive)
	s.nextPart += 2
	r := &simulatedRun{node: s.random.IntN(s.options.nodes), arrived: s.now, deadly: s.random.Float64() < s.options.deadlyShare}
	common, rare := Fingerprint(2*s.random.IntN(commonParts)+1), Fingerprint(101+2*s.random.IntN(rareParts))
	if r.deadly {
		rare = 99
	} else {
		s.result.sound++
	}
	switch s.options.policy {
	case wholePromptPolicy:
		r.parts = []Fingerprint{s.nextPart}
	case partsPolicy:
		r.parts = []Fingerprint{s.nextPart, common, rare}
	}
	s.admit(r)
}

// admit applies the quarantine to a request as a node does, and sends it to an engine if it may run.
func (s *simulation) admit(r *simulatedRun) {
	assessment := s.tables[r.node].Snapshot(s.now).Assess(r.parts)
	waited := s.now.Sub(r.arrived)
	standing := assessment.Standing
	if assessment.IsAmbiguous() && waited < ambiguityWait {
		standing = Busy
	}
	if standing == Suspect {
		for _, m := range assessment.Suspects() {
			home := s.tables[int(m.Fingerprint)%len(s.tables)]
			home.Merge(s.now, m)
			if got := home.Reserve(s.now, m.Fingerprint); got == Busy || got == Quarantined {
				standing = got
				s.release(r)
				break
			} else if got == Suspect {
				r.reserved = append(r.reserved, m.Fingerprint)
			}
		}
	}
	switch {
	case standing == Quarantined || standing == Busy && waited >= ambiguityWait:
		if !r.deadly {
			s.result.soundRefused++
			if standing == Quarantined {
				s.result.soundQuarantined++
			}
		}
	case standing == Busy:
		s.after(ambiguityPoll, func() { s.admit(r) })
	default:
		r.marks = assessment.Marks
		s.send(r)
	}
}

func (s *simulation) release(r *simulatedRun) {
	for _, f := range r.reserved {
		s.tables[int(f)%len(s.tables)].Release(s.now, f)
	}
	r.reserved = nil
}

func (s *simulation) send(r *simulatedRun) {
	if r.deadly && !s.fifthCrash.IsZero() && s.now.After(s.fifthCrash.Add(contactTime)) {
		s.result.sentLate++
	}
	for range 3 * len(s.engines) {
		e := s.engines[s.random.IntN(len(s.engines))]
		if s.now.After(e.downUntil) {
			r.engine = e
			break
		}
	}
	if r.engine == nil {
		s.release(r)
		return
	}
	r.engine.waiting[r] = true
	s.after(100*time.Millisecond+time.Duration(s.random.IntN(600))*time.Millisecond, func() { s.begin(r) })
}

// begin is the moment at which the engine begins to write the answer.
func (s *simulation) begin(r *simulatedRun) {
	if !r.engine.waiting[r] {
		return
	}
	if r.deadly {
		s.result.enginesLost++
		s.crash(r.engine)
		if s.result.enginesLost == crashesPermitted {
			s.fifthCrash = s.now
		}
		return
	}
	delete(r.engine.waiting, r)
	s.spread(r.node, s.tables[r.node].Completed(s.now, r.parts))
}

// crash ends an engine. Each node that waits for an answer of it records the crash.
func (s *simulation) crash(e *simulatedEngine) {
	e.downUntil = s.now.Add(engineDownTime)
	for r := range e.waiting {
		s.spread(r.node, s.tables[r.node].Crashed(s.now, r.marks))
		s.release(r)
	}
	clear(e.waiting)
}

// spread sends marks from a node to the others.
func (s *simulation) spread(from int, marks []Mark) {
	if len(marks) == 0 {
		return
	}
	for i, t := range s.tables {
		if i == from || s.random.Float64() < s.options.markLoss {
			continue
		}
		s.after(time.Duration(5+s.random.IntN(60))*time.Millisecond, func() {
			for _, m := range marks {
				t.Merge(s.now, m)
			}
		})
	}
}

// repeatMarks sends the marks of the relays to all nodes again, as they do once a second.
func (s *simulation) repeatMarks() {
	s.after(time.Second, s.repeatMarks)
	for i := 0; i < len(s.tables); i += nodesPerRelay {
		s.spread(i, s.tables[i].Marks(s.now, maxRepeated))
	}
}

func (r simulationResult) String() string {
	return fmt.Sprintf("engines lost %d, deadly sent late %d, sound %d, of these refused %d, for a quarantine %d",
		r.enginesLost, r.sentLate, r.sound, r.soundRefused, r.soundQuarantined)
}
