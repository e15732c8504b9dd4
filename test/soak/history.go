package soak

import (
	"time"

	"azuredyke.dev/azuredyke/fake/workers"
)

// history holds the observations of one run.
type history struct {
	attempts      []attempt
	workers       workers.History
	processRuns   []processRun
	injected      []injectedFault
	departures    []departure
	operatorState operatorState
	// rollout is nil if the run has no roll-out.
	rollout *rolloutRecord
	// coldUntil holds the end of the cold period of each worker that was started cold.
	coldUntil map[string]time.Time
	// unrecovered describes the nodes and routes that did not serve again after the last fault.
	unrecovered []string
	// logs holds the log of each node.
	logs []string
}

// byID returns the attempts by request id.
func (h *history) byID() map[string]*attempt {
	attempts := make(map[string]*attempt, len(h.attempts))
	for i := range h.attempts {
		attempts[h.attempts[i].id] = &h.attempts[i]
	}
	return attempts
}

// runsOf returns the runs of each request in order, by request id.
func (h *history) runsOf() map[string][]workers.Run {
	runs := map[string][]workers.Run{}
	for _, r := range h.workers.Runs {
		runs[r.Request] = append(runs[r.Request], r)
	}
	return runs
}

// arrivalsOf returns the arrivals of each request in order, by request id.
func (h *history) arrivalsOf() map[string][]workers.Arrival {
	arrivals := map[string][]workers.Arrival{}
	for _, a := range h.workers.Arrivals {
		arrivals[a.Request] = append(arrivals[a.Request], a)
	}
	return arrivals
}

// nodeUndisturbed reports whether no fault affected a node, its links or the store between from and to, nor within recoveryTime
// before from.
func (h *history) nodeUndisturbed(node int, from, to time.Time) bool {
	return h.noNodeFault(node, from, to, false)
}

// nodeUndisturbedExceptPlanned is like nodeUndisturbed but allows planned operations.
func (h *history) nodeUndisturbedExceptPlanned(node int, from, to time.Time) bool {
	return h.noNodeFault(node, from, to, true)
}

func (h *history) noNodeFault(node int, from, to time.Time, allowPlanned bool) bool {
	from = from.Add(-recoveryTime)
	for _, s := range h.injected {
		switch s.kind.scope() {
		case scopeNode:
			if s.target != node {
				continue
			}
		case scopeWorker, scopeConfiguration:
			continue
		}
		if !(allowPlanned && s.kind.planned()) && s.intersects(from, to) {
			return false
		}
	}
	for _, p := range h.processRuns {
		if p.node != node {
			continue
		}
		// A process that was stopped as planned must serve until its exit, so neither its start nor its stop counts.
		if !p.terminatedAt.IsZero() && !p.killed && allowPlanned {
			continue
		}
		if !p.terminatedAt.IsZero() && (p.ended.IsZero() || (interval{p.terminatedAt, p.ended}).intersects(from, to)) {
			return false
		}
		if p.killed && (interval{p.ended, p.ended.Add(restartPause)}).intersects(from, to) ||
			(interval{p.started, p.started}).intersects(from, to) {
			return false
		}
	}
	return true
}

// nodeKeptRunning reports whether a node was neither restarted nor paused between two times.
func (h *history) nodeKeptRunning(node int, from, to time.Time) bool {
	for _, s := range h.injected {
		if s.kind == nodePause && s.target == node && s.intersects(from, to) {
			return false
		}
	}
	for _, p := range h.processRuns {
		if p.node == node && ((interval{p.started, p.started}).intersects(from, to) || !p.ended.IsZero() && (interval{p.ended, p.ended}).intersects(from, to)) {
			return false
		}
	}
	return true
}

// workerReachable is like workerUndisturbed, but a worker that has announced that it leaves serves until its end.
func (h *history) workerReachable(worker string, from, to time.Time) bool {
	return h.noWorkerFault(worker, from, to, leaveNotice)
}

// workerUndisturbed reports whether no fault affected a worker between from and to, nor within recoveryTime before from.
func (h *history) workerUndisturbed(worker string, from, to time.Time) bool {
	return h.noWorkerFault(worker, from, to, 0)
}

// noWorkerFault reports whether no fault affected a worker. A leave counts from the given time after its announcement.
func (h *history) noWorkerFault(worker string, from, to time.Time, notice time.Duration) bool {
	for _, s := range h.injected {
		if s.workerID != worker {
			continue
		}
		if s.kind == workerLeave {
			if to.After(s.from.Add(notice)) {
				return false
			}
			continue
		}
		until := s.to
		if s.kind == workerCrash {
			until = to
		}
		if (interval{s.from, until}).intersects(from.Add(-recoveryTime), to) {
			return false
		}
	}
	return true
}
