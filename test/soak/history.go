package soak

import (
	"time"

	"azuredyke.dev/azuredyke/fake/workers"
)

// history is all that was seen in one run.
type history struct {
	attempts   []attempt
	workers    workers.History
	lives      []life
	struck     []struck
	left       []departed
	operations operations
	// coldUntil holds until when each worker that came cold was so.
	coldUntil map[string]time.Time
	// silent lists the nodes that did not serve after the last fault.
	silent []string
	// logs holds what each node has written.
	logs []string
}

// byID returns the attempts by their ids.
func (h *history) byID() map[string]*attempt {
	attempts := make(map[string]*attempt, len(h.attempts))
	for i := range h.attempts {
		attempts[h.attempts[i].id] = &h.attempts[i]
	}
	return attempts
}

// runsOf returns the runs of each request, in order.
func (h *history) runsOf() map[string][]workers.Run {
	runs := map[string][]workers.Run{}
	for _, r := range h.workers.Runs {
		runs[r.Request] = append(runs[r.Request], r)
	}
	return runs
}

// arrivalsOf returns the arrivals of each request, in order.
func (h *history) arrivalsOf() map[string][]workers.Arrival {
	arrivals := map[string][]workers.Arrival{}
	for _, a := range h.workers.Arrivals {
		arrivals[a.Request] = append(arrivals[a.Request], a)
	}
	return arrivals
}

// calm reports whether a node was in touch from a moment to another: neither it, nor its links, nor the store were disturbed
// then or within contactTime before.
func (h *history) calm(node int, from, to time.Time) bool {
	return h.undisturbed(node, from, to, false)
}

// unplanned is calm, except that planned work is allowed.
func (h *history) unplanned(node int, from, to time.Time) bool {
	return h.undisturbed(node, from, to, true)
}

func (h *history) undisturbed(node int, from, to time.Time, allowPlanned bool) bool {
	from = from.Add(-contactTime)
	for _, s := range h.struck {
		switch s.kind.scope() {
		case onNode:
			if s.target != node {
				continue
			}
		case onWorker, onConfiguration:
			continue
		}
		if !(allowPlanned && s.kind.planned()) && s.meets(from, to) {
			return false
		}
	}
	for _, l := range h.lives {
		if l.node != node {
			continue
		}
		// A process that was stopped as planned serves until its end, and the next one is not to blame for its start.
		if !l.termAt.IsZero() && !l.killed && allowPlanned {
			continue
		}
		if !l.termAt.IsZero() && (l.ended.IsZero() || (span{l.termAt, l.ended}).meets(from, to)) {
			return false
		}
		if l.killed && (span{l.ended, l.ended.Add(restartPause)}).meets(from, to) || (span{l.started, l.started}).meets(from, to) {
			return false
		}
	}
	return true
}

// workerCalm reports whether a worker was not struck from a moment to another, nor within contactTime before.
func (h *history) workerCalm(worker string, from, to time.Time) bool {
	for _, s := range h.struck {
		if s.worker != worker {
			continue
		}
		until := s.to
		if s.kind == workerCrash || s.kind == workerLeave {
			until = to
		}
		if (span{s.from, until}).meets(from.Add(-contactTime), to) {
			return false
		}
	}
	return true
}
