package main

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"
)

// bothWorkLimit is the time after which the engine before must have ended its work on a request that goes on elsewhere.
const bothWorkLimit = 400 * time.Millisecond

// runTwoEngines drains an engine in the middle of a stream. The disruption: the answer of the engine at which the stream goes on is
// lost. Rule TWICE: a request goes on at another worker while the worker before still works on it 400 ms later.
func runTwoEngines(ctx context.Context, s *site) (bool, error) {
	const longEvents = 150
	byID := map[string]*worker{}
	var lost atomic.Int64
	for i, zone := range []string{"andino-a", "andino-b", "andino-a", "andino-b"} {
		w := &worker{
			id: "i-7f3a91c" + string(rune('1'+i)), service: engines, zone: zone, engine: true, slots: 48, events: longEvents, interval: 30 * time.Millisecond,
		}
		if s.trouble {
			// One answer is lost, that of the first run that goes on from a copy.
			w.losesAnswer = func(in runRequest) bool { return in.from != "" && lost.CompareAndSwap(0, 1) }
		}
		if err := s.addWorker(w); err != nil {
			return false, err
		}
		byID[w.id] = w
	}
	s.configure(7, route("catalogo", "/lohu930/", "streaming", engines, map[string]any{"timeoutMs": 39000, "sloMs": 1800, "gapSloMs": 180, "sticky": true, "priority": 1}))
	for _, zone := range []string{"andino-a", "andino-b"} {
		if err := s.addNode("edge-"+zone+"-1", zone); err != nil {
			return false, err
		}
	}
	if err := s.startNodes(ctx); err != nil {
		return false, err
	}
	// Other streams, so that one lost answer is within the share of the disruption.
	var others sync.WaitGroup
	for i := range 24 {
		id, n := s.newID(), s.nodes[i%2]
		others.Go(func() { s.stream(ctx, n, "/lohu930/2f", id, 39*time.Second, nil) })
		time.Sleep(50 * time.Millisecond)
	}
	id := s.newID()
	var drained atomic.Bool
	a := s.stream(ctx, s.nodes[0], "/lohu930/2f", id, 39*time.Second, func(event int) {
		if event != 40 || drained.Swap(true) {
			return
		}
		runs, _ := s.fleet.snapshot()
		for _, r := range runs {
			if r.request == id {
				s.store.put("servers/"+r.worker, byID[r.worker].entry("draining"))
				s.record.log("engine %s is draining; it serves for several seconds more", r.worker)
			}
		}
	})
	others.Wait()
	if a.status != 200 || !drained.Load() {
		return false, errors.New("the stream did not begin")
	}
	return s.checkOneEngine(), nil
}

// checkOneEngine checks the rule for all requests and reports whether it was broken.
func (s *site) checkOneEngine() bool {
	runs, _ := s.fleet.snapshot()
	broken := false
	for _, later := range runs {
		for _, earlier := range runs {
			if later.request != earlier.request || later.worker == earlier.worker || !later.began.After(earlier.began) {
				continue
			}
			limit := later.began.Add(bothWorkLimit)
			if earlier.ended.After(limit) && later.ended.After(limit) {
				broken = true
				s.record.log("TWICE: %s goes on at engine %s at %.4f (works on it until %.4f); engine %s still works on it until %.4f", later.request, later.worker,
					s.record.at(later.began), s.record.at(later.ended), earlier.worker, s.record.at(earlier.ended))
			}
		}
	}
	return broken
}
