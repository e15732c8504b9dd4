package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	// overlapBound is the time for which the worker before may still work on a request that goes on at another worker.
	overlapBound = 400 * time.Millisecond
	// leavesAfter is the time after the begin of the streams at which a worker leaves, and endsAfter the time for which it serves its runs
	// after its announcement: drainMs and some seconds.
	leavesAfter = 2 * time.Second
	endsAfter   = 12 * time.Second
	streams     = 12
)

// playHandover plays the replacement of one of four workers while long streams run. The worker that leaves is one of the few that do not
// drop a request when its connection closes.
func playHandover(s *site) ([]string, error) {
	none := func(string) (time.Duration, bool) { return 0, false }
	for i := range 4 {
		if err := s.addWorker(fmt.Sprintf("engine-%d", i+1), "zone-1", none); err != nil {
			return nil, err
		}
	}
	first := s.fleet.workers[0]
	first.worksOn = true
	if err := s.startNodes("zone-1", "zone-1"); err != nil {
		return nil, err
	}
	if s.trouble {
		time.AfterFunc(leavesAfter, func() { first.drain(endsAfter) })
	}
	var callers sync.WaitGroup
	for i := range streams {
		callers.Go(func() {
			s.send(s.nodes[i%2], fmt.Sprintf("care-note-%d", i), fmt.Sprintf("/note/%d", i), 3000, 1000, 2000, 1000)
		})
		time.Sleep(50 * time.Millisecond)
	}
	callers.Wait()
	time.Sleep(endsAfter)
	return s.overlaps(), nil
}

// overlaps returns the requests that went on at another worker while the worker before still worked on them overlapBound later.
func (s *site) overlaps() []string {
	var breaches []string
	runs := s.fleet.allRuns()
	continued := 0
	for _, next := range runs {
		if !next.continued {
			continue
		}
		continued++
		for _, before := range runs {
			if before.id == next.id && before.worker != next.worker && before.began.Before(next.began) &&
				(before.ended.IsZero() || before.ended.Sub(next.began) > overlapBound) {
				breaches = append(breaches, fmt.Sprintf("TWICE: %s went on at %s at %s, and %s worked on it until %s",
					next.id, next.worker, s.log.since(next.began), before.worker, s.log.since(before.ended)))
			}
		}
	}
	s.log.add("%d requests went on at another worker", continued)
	return breaches
}
