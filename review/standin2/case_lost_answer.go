package main

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

// runLostAnswer loses the answer of one engine to a stream that may run once, before the first event, while another engine fails part of
// its requests. Rule TWICE: a request that isn't idempotent runs more than once.
func runLostAnswer(ctx context.Context, s *site) (bool, error) {
	const (
		requests = 40
		// engineCount makes the one grey engine 0.14 of them.
		engineCount = 7
		// lossAfter is the number of the request from which one answer is lost, 0.04 of those until then.
		lossAfter = 25
		// greyAfter is the number of requests that the grey engine has got by then.
		greyAfter = 3
	)
	var mu sync.Mutex
	var lostID, greyAddress string
	arrived, failed, at := 0, 0, map[string]int{}
	for i := range engineCount {
		w := &worker{
			id: fmt.Sprintf("i-7f3a91c%d", i+1), service: engines, zone: []string{"andino-a", "andino-b"}[i%2], engine: true, slots: 48, events: 60,
			interval: 30 * time.Millisecond, dropsLost: true,
		}
		w.onArrival = func() {
			mu.Lock()
			defer mu.Unlock()
			arrived++
			at[w.address]++
		}
		if s.trouble {
			// The engine drops the request whose answer is lost. The engine with its backup is the grey one from then on.
			w.losesAnswer = func(in runRequest) bool {
				mu.Lock()
				defer mu.Unlock()
				if lostID != "" || arrived < lossAfter || in.backup == "" || at[in.backup] < greyAfter {
					return false
				}
				lostID, greyAddress = in.id, in.backup
				return true
			}
			// The grey engine fails that request, 0.25 of its requests at most.
			w.fails = func(request string) bool {
				mu.Lock()
				defer mu.Unlock()
				if w.address != greyAddress || request != lostID {
					return false
				}
				failed++
				return true
			}
		}
		if err := s.addWorker(w); err != nil {
			return false, err
		}
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
	var clients sync.WaitGroup
	var served atomic.Int64
	for i := range requests {
		id, n := s.newID(), s.nodes[i%2]
		clients.Go(func() {
			if a := s.stream(ctx, n, "/lohu930/2f", id, 39*time.Second, nil); a.status == 200 && a.events == 60 {
				served.Add(1)
			}
		})
		time.Sleep(250 * time.Millisecond)
	}
	clients.Wait()
	if served.Load() == 0 {
		return false, errors.New("no stream was served")
	}
	mu.Lock()
	defer mu.Unlock()
	s.record.log("%d of %d streams were served; the answer to %q was lost; the engine at %s failed %d of %d requests", served.Load(), requests, lostID,
		greyAddress, failed, at[greyAddress])
	if s.trouble && lostID == "" {
		return false, errors.New("no request had a backup")
	}
	return s.checkRunsOnce(), nil
}

// checkRunsOnce checks that no request ran twice, and reports whether the rule was broken. A run that goes on from a copy of the memory of
// the run before counts as the same one.
func (s *site) checkRunsOnce() bool {
	runs, _ := s.fleet.snapshot()
	first, broken := map[string]engineRun{}, false
	for _, r := range runs {
		before, ok := first[r.request]
		if !ok {
			first[r.request] = r
			continue
		}
		if !r.hadCopy {
			broken = true
			s.record.log("TWICE: %s ran at engine %s at %.4f and at engine %s at %.4f, which had no copy of its memory", r.request, before.worker,
				s.record.at(before.began), r.worker, s.record.at(r.began))
		}
	}
	return broken
}
