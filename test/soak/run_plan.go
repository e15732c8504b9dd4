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
	// callerCount is the number of concurrent callers.
	callerCount = 12
	// settleTime is the pause for the last requests to end before the workers' history is read.
	settleTime = 700 * time.Millisecond
)

// runPlan runs a plan against a new site and returns the recorded history.
func runPlan(t *testing.T, p plan) *history {
	s := newSite(t, p.rollout != nil)
	state := &atomic.Pointer[operatorState]{}
	state.Store(&operatorState{
		keys:    []string{harness.EdgeAPIKey},
		revoked: map[string]time.Time{}, addedAt: map[string]time.Time{}, droppedAt: map[string]time.Time{},
	})
	s.PutConfiguration(harness.EdgeConfiguration{APIKeys: state.Load().keys, ColdRate: coldRate, MaxBodyBytes: uploadBytes})
	faults := &injector{
		site: s, state: state, workers: make([]*workers.Worker, workerCount), startCounts: make([]int, workerCount),
		coldUntil: map[string]time.Time{},
	}
	if p.uploads {
		faults.changeWorker = append(faults.changeWorker, makeDeskDirect)
	}
	for slot := range workerCount {
		faults.startWorker(slot, false)
	}
	ready := &atomic.Pointer[[]int]{}
	ready.Store(&[]int{})
	supervisorCtx, stopSupervisors := context.WithCancel(context.Background())
	callerCtx, stopCallers := context.WithCancel(context.Background())
	defer stopSupervisors()
	defer stopCallers()

	var supervisorTasks, callerTasks sync.WaitGroup
	processRuns := make([][]processRun, nodeCount)
	for n, node := range s.Nodes {
		supervised := newSupervisor(n, node)
		faults.supervisors = append(faults.supervisors, supervised)
		supervisorTasks.Go(func() { processRuns[n] = supervised.run(supervisorCtx) })
	}
	for _, node := range s.Nodes {
		s.Eventually("all nodes are ready", node.Ready)
	}
	supervisorTasks.Go(func() { (&balancer{nodes: s.Nodes, ready: ready}).run(supervisorCtx) })

	attempts := make([][]attempt, callerCount)
	for n := range callerCount {
		c := newCaller(fmt.Sprintf("s%d-c%d", p.seed, n), p.seed+uint64(n), s, ready, state)
		c.uploads = p.uploads
		callerTasks.Go(func() { attempts[n] = c.run(callerCtx) })
	}
	faults.run(t.Context(), p)
	recovered := awaitRecovery(p.seed, s, state)
	stopCallers()
	callerTasks.Wait()
	time.Sleep(settleTime)
	h := &history{
		workers: s.Fleet.History(t.Context()), injected: faults.injected, departures: faults.departures,
		operatorState: *state.Load(), coldUntil: faults.coldUntil, rollout: faults.rollout,
	}
	for _, list := range attempts {
		h.attempts = append(h.attempts, list...)
	}
	h.attempts, h.unrecovered = append(h.attempts, recovered.attempts...), recovered.unrecovered
	stopSupervisors()
	supervisorTasks.Wait()
	for n, node := range s.Nodes {
		h.processRuns = append(h.processRuns, processRuns[n]...)
		h.logs = append(h.logs, node.Log())
	}
	return h
}
