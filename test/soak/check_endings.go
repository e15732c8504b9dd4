package soak

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"azuredyke.dev/azuredyke/fake/workers"
)

const (
	// graceTailDivisor gives the final fraction of the grace period, one sixth, in which running requests may be cut.
	graceTailDivisor = 6
	// logLag is the longest time until a log line is written. A process that is killed within that time may lose the line.
	logLag = time.Second
	// allowedLateStops is the number of late stops that is always allowed, whatever their share.
	allowedLateStops = 3
)

// findCutRequests finds requests whose connection ended without a complete answer although nothing but planned operations
// affected their node.
func findCutRequests(h *history) []string {
	var found []string
	arrivals := h.arrivalsOf()
	for i := range h.attempts {
		a := &h.attempts[i]
		if a.err == "" || a.abandoned || a.deadlineExceeded ||
			!h.nodeUndisturbedExceptPlanned(a.node, a.sentAt, a.endedAt) || h.cutAtGraceEnd(a) {
			continue
		}
		requestArrivals := arrivals[a.id]
		workersUndisturbed := true
		for _, one := range requestArrivals {
			workersUndisturbed = workersUndisturbed && h.workerUndisturbed(one.Worker, one.At, a.endedAt)
		}
		if workersUndisturbed && (len(requestArrivals) > 0 || a.endedAt.Sub(a.sentAt) > minCutDuration) {
			found = append(found, fmt.Sprintf("%s at node %d ended after %v: %s", a.id, a.node, a.endedAt.Sub(a.sentAt), a.err))
		}
	}
	return found
}

// cutAtGraceEnd reports whether the attempt was sent at most lateAfter after the SIGTERM of its process, and a worker was still at
// work on it in the last part of the grace period.
func (h *history) cutAtGraceEnd(a *attempt) bool {
	for _, p := range h.processRuns {
		if p.node != a.node || p.terminatedAt.IsZero() || !a.sentAt.Before(p.ended) || a.sentAt.After(p.terminatedAt.Add(lateAfter)) {
			continue
		}
		tail := p.terminatedAt.Add(grace - grace/graceTailDivisor)
		if slices.ContainsFunc(h.workers.Runs, func(r workers.Run) bool {
			return r.Request == a.id && (!r.Ended || !r.EndedAt.Before(tail))
		}) && !a.endedAt.Before(tail) {
			return true
		}
	}
	return false
}

// findAbandonedRuns finds runs that continued for more than abandonBound after their caller had disconnected. It reports them
// only if they exceed allowedLateStops and a quarter of all abandoned requests.
func findAbandonedRuns(h *history) []string {
	var late []string
	abandonedCount := 0
	attempts := h.byID()
	for id, runs := range h.runsOf() {
		a, last := attempts[id], runs[len(runs)-1]
		if a == nil || !a.abandoned || !a.isStream() || !h.nodeUndisturbed(a.node, a.sentAt, a.endedAt.Add(abandonBound)) ||
			!h.workerUndisturbed(last.Worker, last.Began, a.endedAt.Add(abandonBound)) {
			continue
		}
		abandonedCount++
		if !last.Ended || last.EndedAt.Sub(a.endedAt) > abandonBound {
			late = append(late, fmt.Sprintf("%s continued at %s after its caller had disconnected", id, last.Worker))
		}
	}
	if len(late) <= allowedLateStops || 4*len(late) <= abandonedCount {
		return nil
	}
	return late
}

// findOverlappingRuns finds runs that were continued at a worker while the previous worker was still running them.
func findOverlappingRuns(h *history) []string {
	var found []string
	attempts := h.byID()
	for id, runs := range h.runsOf() {
		a := attempts[id]
		if a == nil || !a.runsAtMostOnce() {
			continue
		}
		for i := 1; i < len(runs); i++ {
			before, next := runs[i-1], runs[i]
			if runsOverlap(before, next) && h.nodeUndisturbed(a.node, next.Began, next.Began.Add(overlapBound)) &&
				h.workerReachable(before.Worker, next.Began, next.Began.Add(overlapBound)) {
				found = append(found, fmt.Sprintf("%s was continued at %s while %s was still running it", id, next.Worker, before.Worker))
			}
		}
	}
	return found
}

func runsOverlap(before, next workers.Run) bool {
	return !before.Ended || before.EndedAt.After(next.Began.Add(overlapBound))
}

// findUnexpectedExits finds processes that exited without a signal, or with an error after a planned stop.
func findUnexpectedExits(h *history) []string {
	var found []string
	for _, p := range h.processRuns {
		switch {
		case p.exitedUnasked():
			found = append(found, fmt.Sprintf("node %d exited without a signal: %s", p.node, p.err))
		case !p.ended.IsZero() && !p.killed && p.err != "":
			found = append(found, fmt.Sprintf("node %d exited with %s after SIGTERM", p.node, p.err))
		}
	}
	return found
}

// findUnloggedFailures finds error responses of a node for which the node's log has no "request refused" line.
func findUnloggedFailures(h *history) []string {
	var found []string
	for i := range h.attempts {
		a := &h.attempts[i]
		if a.status < 500 || a.hasSignature || h.killedSoon(a) {
			continue
		}
		if !strings.Contains(h.logs[a.node], fmt.Sprintf(`request refused","request":%q`, a.id)) {
			found = append(found, fmt.Sprintf("%s was answered %d at node %d without a log line", a.id, a.status, a.node))
		}
	}
	return found
}

// killedSoon reports whether the node was killed so soon that the log lines of an attempt may be lost.
func (h *history) killedSoon(a *attempt) bool {
	for _, p := range h.processRuns {
		if p.node == a.node && p.killed && (interval{p.ended, p.ended}).intersects(a.sentAt, a.endedAt.Add(logLag)) {
			return true
		}
	}
	return false
}
