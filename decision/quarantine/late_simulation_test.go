package quarantine

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// maxDeadlyTries is the number of times that the caller of a deadly request sends it, deadlyPause the time between.
	maxDeadlyTries = 10
	deadlyPause    = 2 * time.Second
	// minStream and maxStream bound the length of a stream.
	minStream, maxStream = 2 * time.Second, 12 * time.Second
	// deadlyHistory is the number of crashes of a request after which its tries count as late.
	deadlyHistory = 3
)

// lateSimulation plays streams that continue from copies when their engines crash, in virtual time.
type lateSimulation struct {
	simulation
	options lateOptions
	// arrivals draws the requests, so that all policies play the same ones.
	arrivals *rand.Rand
	engines  []*lateEngine
	result   lateResult
	// crashes holds the times of the crashes of each deadly request.
	crashes map[Fingerprint][]time.Time
}

// simulateLate plays one seed of a case.
func simulateLate(o lateOptions) lateResult {
	s := &lateSimulation{options: o, arrivals: rand.New(rand.NewPCG(o.seed, 3)), crashes: map[Fingerprint][]time.Time{}}
	s.simulation = simulation{
		random: rand.New(rand.NewPCG(o.seed, 2)), options: simulationOptions{nodes: o.nodes}, now: time.Unix(0, 0),
	}
	for range o.nodes {
		s.tables = append(s.tables, NewTable())
	}
	for range o.engines {
		s.engines = append(s.engines, &lateEngine{})
	}
	end := s.now.Add(simulatedTime)
	s.every(o.rate, func() { s.arrive(false) })
	s.every(o.deadlyRate, func() { s.arrive(true) })
	s.every(o.failureRate*float64(o.engines), func() { s.fail(s.engines[s.random.IntN(o.engines)]) })
	s.after(time.Second, s.repeatMarks)
	for _, at := range o.powerCuts {
		s.after(at, func() {
			for _, i := range s.random.Perm(o.engines)[:o.powerCut] {
				s.after(time.Duration(s.random.IntN(20))*time.Millisecond, func() { s.fail(s.engines[i]) })
			}
		})
	}
	s.playUntil(end)
	return s.result
}

// every calls run at random times with the given rate per second.
func (s *lateSimulation) every(rate float64, run func()) {
	if rate == 0 {
		return
	}
	s.after(time.Duration(s.arrivals.ExpFloat64()/rate*float64(time.Second)), func() {
		run()
		s.every(rate, run)
	})
}

// arrive creates a request with a fingerprint of its own.
func (s *lateSimulation) arrive(deadly bool) {
	s.nextPart += 2
	if !deadly {
		s.result.sound++
	}
	length := minStream + time.Duration(s.arrivals.Int64N(int64(maxStream-minStream)))
	s.send(&lateStream{fingerprint: s.nextPart, deadly: deadly, left: length})
}

// send sends a request to a random node, which runs it unless it is in quarantine.
func (s *lateSimulation) send(r *lateStream) {
	r.node, r.tries = s.random.IntN(len(s.tables)), r.tries+1
	r.seen = s.marks(r)
	if r.seen[0].Standing() == Quarantined {
		s.comeAgain(r)
		return
	}
	if r.engine = s.chooseEngine(nil); r.engine == nil {
		s.comeAgain(r)
		return
	}
	s.begin(r)
}

func (s *lateSimulation) marks(r *lateStream) []Mark {
	return s.tables[r.node].Snapshot(s.now).Assess([]Fingerprint{r.fingerprint}).Marks
}

// comeAgain lets the caller of a deadly request send it again.
func (s *lateSimulation) comeAgain(r *lateStream) {
	if r.deadly && r.tries < maxDeadlyTries {
		s.after(deadlyPause, func() { s.send(r) })
	}
}

// chooseEngine returns a random engine that runs, other than the given one; nil if there is none.
func (s *lateSimulation) chooseEngine(other *lateEngine) *lateEngine {
	for range 3 * len(s.engines) {
		if e := s.engines[s.random.IntN(len(s.engines))]; e != other && !s.now.Before(e.downUntil) {
			return e
		}
	}
	return nil
}

// begin starts a run at the stream's engine.
func (s *lateSimulation) begin(r *lateStream) {
	if r.deadly {
		if history := s.crashes[r.fingerprint]; len(history) >= deadlyHistory && s.now.After(history[deadlyHistory-1].Add(contactTime)) {
			s.result.lateTries++
		}
	}
	e := r.engine
	r.begun, r.backup = s.now, s.chooseEngine(e)
	e.streams = append(e.streams, r)
	if r.deadly {
		s.after(s.options.crashAfter, func() {
			if slices.Contains(e.streams, r) {
				s.result.enginesLost++
				s.crashes[r.fingerprint] = append(s.crashes[r.fingerprint], s.now)
				s.fail(e)
			}
		})
		return
	}
	s.after(r.left, func() {
		if i := slices.Index(e.streams, r); i >= 0 {
			e.streams = slices.Delete(e.streams, i, i+1)
			s.spread(r.node, s.tables[r.node].Completed(s.now, []Fingerprint{r.fingerprint}))
		}
	})
}

// fail ends an engine. Its streams continue from their copies if their nodes let them.
func (s *lateSimulation) fail(e *lateEngine) {
	if s.now.Before(e.downUntil) {
		return
	}
	e.downUntil = s.now.Add(engineDownTime)
	broken := e.streams
	e.streams = nil
	for _, r := range broken {
		s.after(time.Duration(1+s.random.IntN(5))*time.Millisecond, func() { s.handleBreak(r) })
	}
}

// handleBreak applies the policy to a stream whose engine has failed.
func (s *lateSimulation) handleBreak(r *lateStream) {
	r.left = max(time.Millisecond, r.left-s.now.Sub(r.begun))
	table := s.tables[r.node]
	switch s.options.policy {
	case twoLate:
		s.spread(r.node, table.Crashed(s.now, r.seen))
	case productLate:
		s.spread(r.node, table.CrashedLate(s.now, r.seen))
	}
	r.seen = s.marks(r)
	switch {
	case r.seen[0].Standing() == Quarantined:
		if !r.deadly {
			s.result.dropped++
		}
	case r.backup == nil || s.now.Before(r.backup.downUntil):
		if !r.deadly {
			s.result.withoutCopy++
		}
	default:
		r.engine = r.backup
		s.begin(r)
		return
	}
	s.comeAgain(r)
}
