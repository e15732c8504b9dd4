package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// drainTime is the bound drainMs, contactTime contactMs.
	drainTime   = 2 * time.Second
	contactTime = 3 * time.Second
)

// runDeparted removes the entry of a worker, which serves for drainMs and a little longer and then exits. The disruption: 1.2 s before,
// the open connections to the store went silent for good. Rule DRAIN: no request reaches the worker later than drainMs after the store's
// acknowledgement. Only requests that were sent later than contactMs after the disruption are judged: all machines are in touch then.
func runDeparted(ctx context.Context, s *site) (bool, error) {
	const (
		silentBefore = 1200 * time.Millisecond
		littleLonger = 400 * time.Millisecond
		// requestInterval makes 50 requests a second, 1.7 times those of the sheet.
		requestInterval = 20 * time.Millisecond
	)
	var leaving *worker
	for i, zone := range []string{"andino-a", "andino-b", "andino-a", "andino-b"} {
		w := &worker{id: fmt.Sprintf("i-40f425e%d", i+1), service: desk, zone: zone, slots: 6, work: 30 * time.Millisecond}
		if err := s.addWorker(w); err != nil {
			return false, err
		}
		leaving = w
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
	traffic, stop := context.WithCancel(ctx)
	defer stop()
	var clients sync.WaitGroup
	var mu sync.Mutex
	answers := map[string]answer{}
	clients.Go(func() {
		for i := 0; traffic.Err() == nil; i++ {
			id, n := s.newID(), s.nodes[i%2]
			clients.Go(func() {
				a := s.send(ctx, n, http.MethodPost, "/pule252/2f", id, 2500*time.Millisecond)
				mu.Lock()
				defer mu.Unlock()
				answers[id] = a
			})
			time.Sleep(requestInterval)
		}
	})
	time.Sleep(4 * time.Second)
	disrupted := time.Now()
	if s.trouble {
		s.record.log("%d open connections to the store go silent; new ones work", s.storeLink.silence())
	}
	time.Sleep(silentBefore)
	acknowledged := s.store.remove("servers/" + leaving.id)
	s.record.log("the store acknowledges that the entry of worker %s is removed", leaving.id)
	time.Sleep(drainTime + littleLonger)
	leaving.exit()
	s.record.log("worker %s exits", leaving.id)
	time.Sleep(2 * time.Second)
	stop()
	clients.Wait()
	_, arrivals := s.fleet.snapshot()
	before, late := 0, 0
	for _, a := range arrivals {
		switch {
		case a.worker != leaving.id:
		case a.at.After(acknowledged.Add(drainTime)) && answers[a.request].sent.After(disrupted.Add(contactTime)):
			late++
			s.record.log("DRAIN: %s, sent %v after the disruption, reached worker %s %v after the acknowledgement", a.request,
				answers[a.request].sent.Sub(disrupted).Round(time.Millisecond), a.worker, a.at.Sub(acknowledged).Round(time.Millisecond))
		default:
			before++
		}
	}
	failed := 0
	for _, a := range answers {
		if a.err != nil || a.status != http.StatusOK {
			failed++
		}
	}
	s.record.log("worker %s got %d requests before the bound and %d after it; %d of %d requests were not answered with 200", leaving.id, before, late, failed, len(answers))
	if before == 0 {
		return false, errors.New("the worker got no request")
	}
	return late > 0, nil
}
