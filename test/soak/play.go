package soak

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"azuredyke.dev/azuredyke/fake/workers"
	"azuredyke.dev/azuredyke/test/harness"
)

const (
	// callerCount is the number of callers.
	callerCount = 12
	// settleTime lets the last requests end before the workers' history is read.
	settleTime = 700 * time.Millisecond
)

// play runs a plan against a site of its own and returns what was seen.
func play(t *testing.T, p plan) *history {
	s := newSite(t)
	known := &atomic.Pointer[operations]{}
	known.Store(&operations{
		keys:    []string{harness.EdgeAPIKey},
		revoked: map[string]time.Time{}, addedAt: map[string]time.Time{}, droppedAt: map[string]time.Time{},
	})
	s.PutConfiguration(harness.EdgeConfiguration{APIKeys: known.Load().keys, ColdRate: coldRate})
	in := &injector{
		site: s, known: known, places: make([]*workers.Worker, workerCount), numbers: make([]int, workerCount),
		coldUntil: map[string]time.Time{},
	}
	for place := range workerCount {
		in.place(place, false)
	}
	ready := &atomic.Pointer[[]int]{}
	ready.Store(&[]int{})
	keeping, stopKeeping := context.WithCancel(context.Background())
	calling, stopCalling := context.WithCancel(context.Background())
	defer stopKeeping()
	defer stopCalling()

	var kept, called sync.WaitGroup
	lives := make([][]life, nodeCount)
	for n, node := range s.Nodes {
		k := newKeeper(n, node)
		in.keepers = append(in.keepers, k)
		kept.Go(func() { lives[n] = k.run(keeping) })
	}
	kept.Go(func() { (&balancer{nodes: s.Nodes, ready: ready}).run(keeping) })
	s.Eventually("all nodes are ready", func() bool { return len(*ready.Load()) == nodeCount })

	attempts := make([][]attempt, callerCount)
	for n := range callerCount {
		c := newCaller(fmt.Sprintf("s%d-c%d", p.seed, n), p.seed+uint64(n), s, ready, known)
		called.Go(func() { attempts[n] = c.run(calling) })
	}
	in.run(t.Context(), p)
	recovered := awaitRecovery(p.seed, s, known)
	stopCalling()
	called.Wait()
	time.Sleep(settleTime)
	h := &history{workers: s.Fleet.History(t.Context()), struck: in.struck, left: in.left, operations: *known.Load(), coldUntil: in.coldUntil}
	for _, list := range attempts {
		h.attempts = append(h.attempts, list...)
	}
	h.attempts, h.silent = append(h.attempts, recovered.attempts...), recovered.silent
	stopKeeping()
	kept.Wait()
	for n, node := range s.Nodes {
		h.lives = append(h.lives, lives[n]...)
		h.logs = append(h.logs, node.Log())
	}
	return h
}
