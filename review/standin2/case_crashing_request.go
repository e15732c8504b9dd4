package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// crashingPath is the path of the request that crashes each worker that begins to run it.
	crashingPath = "/pule252/crashes"
	// backAfter is the time after which a crashed worker is back, as a new incarnation.
	backAfter = 2 * time.Second
	// maxRetries is the number of retries that may still reach workers.
	maxRetries = 3
)

// runCrashingRequest sends a request that crashes the workers again and again. The disruption: all nodes are killed at the same moment,
// three times. Rule BUDGET: it reaches workers in more than three retries, later than contactMs after it has crashed the third.
func runCrashingRequest(ctx context.Context, s *site) (bool, error) {
	const (
		kills = 3
		// phase is the time for which the request comes again after each start, interval the time between two of them.
		phase    = 4 * time.Second
		interval = 200 * time.Millisecond
	)
	var mu sync.Mutex
	var crashes []time.Time
	var ids atomic.Int64
	var add func(zone string) error
	add = func(zone string) error {
		w := &worker{id: fmt.Sprintf("i-40f425%04x", ids.Add(1)), service: desk, zone: zone, slots: 6, work: 30 * time.Millisecond}
		w.crashes = func(path string) bool { return path == crashingPath }
		w.crash = func() {
			mu.Lock()
			crashes = append(crashes, time.Now())
			s.record.log("worker %s crashes, crash %d", w.id, len(crashes))
			mu.Unlock()
			w.exit()
			time.AfterFunc(3*heartbeat, func() { s.store.remove("servers/" + w.id) })
			time.AfterFunc(backAfter, func() { _ = add(zone) })
		}
		return s.addWorker(w)
	}
	for _, zone := range []string{"andino-a", "andino-b", "andino-a", "andino-b", "andino-a", "andino-b"} {
		if err := add(zone); err != nil {
			return false, err
		}
	}
	s.configure(7, route("reserva", "/pule252/", "non_idempotent", desk, nil))
	for _, zone := range []string{"andino-a", "andino-b"} {
		if err := s.addNode("edge-"+zone+"-1", zone); err != nil {
			return false, err
		}
	}
	if err := s.startNodes(ctx); err != nil {
		return false, err
	}
	started := time.Now()
	starts := []time.Time{started}
	for i := 0; ; i++ {
		// Machines are in touch later than contactMs after their start.
		time.Sleep(time.Until(started.Add(contactTime + 200*time.Millisecond)))
		for end := time.Now().Add(phase); time.Now().Before(end); time.Sleep(interval) {
			s.send(ctx, s.nodes[i%2], http.MethodPost, crashingPath, s.newID(), 2500*time.Millisecond)
			if a := s.send(ctx, s.nodes[(i+1)%2], http.MethodPost, "/pule252/2f", s.newID(), 2500*time.Millisecond); a.err != nil {
				return false, a.err
			}
		}
		if i == kills {
			break
		}
		if s.trouble {
			s.record.log("all nodes are killed")
			for _, n := range s.nodes {
				n.kill()
			}
			if err := s.startNodes(ctx); err != nil {
				return false, err
			}
			started = time.Now()
			starts = append(starts, started)
		}
	}
	mu.Lock()
	defer mu.Unlock()
	if len(crashes) < 2 {
		return false, errors.New("the request crashed no workers")
	}
	if len(crashes) < 3 {
		return false, nil
	}
	retries := 0
	_, arrivals := s.fleet.snapshot()
	for _, a := range arrivals {
		if a.path != crashingPath || !a.at.After(crashes[2].Add(contactTime)) || !inTouch(starts, a.at) {
			continue
		}
		retries++
		s.record.log("BUDGET: %s reached worker %s at %.4f, %v after the third crash", a.request, a.worker, s.record.at(a.at), a.at.Sub(crashes[2]).Round(time.Millisecond))
	}
	s.record.log("%d crashes, %d arrivals later than contactMs after the third", len(crashes), retries)
	return retries > maxRetries, nil
}

// inTouch reports whether all nodes were in touch at a time: started more than contactMs before.
func inTouch(starts []time.Time, at time.Time) bool {
	for _, start := range starts {
		if at.After(start) && !at.After(start.Add(contactTime)) {
			return false
		}
	}
	return true
}
