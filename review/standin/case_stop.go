package main

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	grace = 8 * time.Second
	// lateAfter is the time after SIGTERM up to which the rule excuses a request that is still at work when the grace period ends.
	lateAfter = 3 * time.Second
	// rollGap is the time between the stops of two nodes, and rolls the number of times that nodes are stopped.
	rollGap = time.Second
	rolls   = 6
	// settle is the time between the return of the nodes and the next stop.
	settle = 3 * time.Second
	// streamRate is the number of streams that begin in a second.
	streamRate = 8
	// The lengths of answers in events, and the error of the caller's estimate, as in the site file.
	meanEvents, spreadEvents, maxEvents = 236.0, 0.84, 556.0
	hintSpread                          = 1.2
	promptTokens                        = 3000
)

// playStop plays a rolling restart: two of the three nodes of a zone are stopped one after the other and start again, while callers send
// long streams.
func playStop(s *site) ([]string, error) {
	for i := range 5 {
		if err := s.addWorker(fmt.Sprintf("engine-%d", i+1), "zone-1", func(string) (time.Duration, bool) { return 0, false }); err != nil {
			return nil, err
		}
	}
	if err := s.startNodes("zone-1", "zone-1", "zone-1"); err != nil {
		return nil, err
	}
	b := newBalancer(s)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range rolls {
			s.rollNodes(b)
		}
	}()
	var attempts []*attempt
	var mu sync.Mutex
	var callers sync.WaitGroup
	for i, playing := 0, true; playing; i++ {
		callers.Go(func() {
			got := s.callStream(b, i)
			mu.Lock()
			defer mu.Unlock()
			attempts = append(attempts, got...)
		})
		select {
		case <-done:
			playing = false
		case <-time.After(time.Second / streamRate):
		}
	}
	callers.Wait()
	return s.lostStreams(attempts), nil
}

// rollNodes stops two nodes one after the other, and waits until both serve again.
func (s *site) rollNodes(b *balancer) {
	time.Sleep(settle)
	for i := range 2 {
		if s.trouble {
			s.nodes[i].terminate(grace)
		}
		time.Sleep(rollGap)
	}
	time.Sleep(grace)
	for !b.inRotation(0) || !b.inRotation(1) {
		time.Sleep(100 * time.Millisecond)
	}
}

// callStream sends one stream, and once more after a promise that it has not run.
func (s *site) callStream(b *balancer, i int) []*attempt {
	random := rand.New(rand.NewPCG(uint64(i), 27))
	length := func(spread float64) float64 { return math.Exp(spread*random.NormFloat64() - spread*spread/2) }
	answer := tokensPerEvent * int(min(maxEvents, max(1, meanEvents*length(spreadEvents))))
	hint := max(1, int(float64(answer)*math.Exp(hintSpread*random.NormFloat64())))
	var got []*attempt
	var before *node
	for try := range 2 {
		a := s.send(b.choose(random, before), fmt.Sprintf("care-note-%d-%d", i, try), fmt.Sprintf("/note/%d", i), promptTokens, answer, tokensPerEvent*maxEvents, hint)
		got = append(got, a)
		if a.status != 503 || a.retryAfter > requestDeadline/3 {
			break
		}
		before = a.node
		time.Sleep(a.retryAfter)
	}
	return got
}

// lostStreams returns the requests that a stopping node had passed on to a sound worker and whose answers it cut, except those that the
// rule excuses.
func (s *site) lostStreams(attempts []*attempt) []string {
	var breaches []string
	served, refused, excused := 0, 0, 0
	for _, a := range attempts {
		passedOn := len(s.fleet.arrivalsOf(func(r arrival) bool { return r.id == a.id && !r.refused })) > 0
		switch after := a.sent.Sub(a.stoppingSince); {
		case a.served():
			served++
		case a.err == "":
			refused++
		case a.stoppingSince.IsZero() && !passedOn, s.fleet.brokeOff(a.id), a.ended.Sub(a.sent) >= requestDeadline:
			excused++
		case !a.stoppingSince.IsZero() && after > lateAfter && passedOn:
			breaches = append(breaches, fmt.Sprintf("LOST: %s was sent %v after the SIGTERM of %s, was passed on to a worker and was cut after %d events",
				a.id, after.Round(time.Millisecond), a.node.name, a.events))
		default:
			excused++
		}
	}
	s.log.add("attempts: %d served, %d refused, %d ended otherwise and excused, %d lost", served, refused, excused, len(breaches))
	return breaches
}
