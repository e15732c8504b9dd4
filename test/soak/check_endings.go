package soak

import (
	"fmt"
	"strings"
	"time"

	"azuredyke.dev/azuredyke/fake/workers"
)

const (
	// graceTail is the part of the grace at whose end running requests may be cut.
	graceTail = 6
	// logLag is how long a line may take to be written; a process that is killed sooner may lose it.
	logLag = time.Second
	// spared is how many unwanted runs are allowed at least.
	spared = 3
)

// findLost finds requests whose connection ended without a whole answer although at most planned work was going on.
func findLost(h *history) []string {
	var found []string
	arrivals := h.arrivalsOf()
	for i := range h.attempts {
		a := &h.attempts[i]
		if a.err == "" || a.left || a.overdue || !h.unplanned(a.node, a.sentAt, a.endedAt) || h.inGraceTail(a) {
			continue
		}
		passedOn := arrivals[a.id]
		sound := true
		for _, one := range passedOn {
			sound = sound && h.workerCalm(one.Worker, one.At, a.endedAt)
		}
		if sound && (len(passedOn) > 0 || a.endedAt.Sub(a.sentAt) > lossSlack) {
			found = append(found, fmt.Sprintf("%s at node %d ended after %v: %s", a.id, a.node, a.endedAt.Sub(a.sentAt), a.err))
		}
	}
	return found
}

// inGraceTail reports whether the answer ended with the grace of its process.
func (h *history) inGraceTail(a *attempt) bool {
	for _, l := range h.lives {
		if l.node == a.node && !l.termAt.IsZero() && !a.endedAt.Before(l.termAt.Add(grace-grace/graceTail)) && a.sentAt.Before(l.ended) {
			return true
		}
	}
	return false
}

// findUnwanted finds workers that are at work longer than goneBound after the caller has left, in more than a quarter of the
// cases.
func findUnwanted(h *history) []string {
	var late []string
	cases := 0
	attempts := h.byID()
	for id, runs := range h.runsOf() {
		a, last := attempts[id], runs[len(runs)-1]
		if a == nil || !a.left || !a.streams() || !h.calm(a.node, a.sentAt, a.endedAt.Add(goneBound)) ||
			!h.workerCalm(last.Worker, last.Began, a.endedAt.Add(goneBound)) {
			continue
		}
		cases++
		if !last.Ended || last.EndedAt.Sub(a.endedAt) > goneBound {
			late = append(late, fmt.Sprintf("%s ran at %s after its caller had left", id, last.Worker))
		}
	}
	if len(late) <= spared || 4*len(late) <= cases {
		return nil
	}
	return late
}

// findOverlaps finds runs that went on at a worker while the one before still worked on them.
func findOverlaps(h *history) []string {
	var found []string
	attempts := h.byID()
	for id, runs := range h.runsOf() {
		a := attempts[id]
		if a == nil || !a.runsOnce() {
			continue
		}
		for i := 1; i < len(runs); i++ {
			before, next := runs[i-1], runs[i]
			if overlaps(before, next) && h.calm(a.node, a.sentAt, next.Began.Add(overlapBound)) &&
				h.workerCalm(before.Worker, before.Began, next.Began.Add(overlapBound)) {
				found = append(found, fmt.Sprintf("%s went on at %s while %s worked on it", id, next.Worker, before.Worker))
			}
		}
	}
	return found
}

func overlaps(before, next workers.Run) bool {
	return !before.Ended || before.EndedAt.After(next.Began.Add(overlapBound))
}

// findOwnEnds finds processes that ended by themselves, or with an error after a planned stop.
func findOwnEnds(h *history) []string {
	var found []string
	for _, l := range h.lives {
		switch {
		case l.ownEnd():
			found = append(found, fmt.Sprintf("node %d ended by itself: %s", l.node, l.err))
		case !l.ended.IsZero() && !l.killed && l.err != "":
			found = append(found, fmt.Sprintf("node %d ended with %s after SIGTERM", l.node, l.err))
		}
	}
	return found
}

// findUnexplained finds failures without a line in the log of the node that says why.
func findUnexplained(h *history) []string {
	var found []string
	for i := range h.attempts {
		a := &h.attempts[i]
		if a.status < 500 || a.signed || h.killedSoon(a) {
			continue
		}
		if !strings.Contains(h.logs[a.node], fmt.Sprintf(`request refused","request":%q`, a.id)) {
			found = append(found, fmt.Sprintf("%s was answered %d at node %d without a line", a.id, a.status, a.node))
		}
	}
	return found
}

// killedSoon reports whether the node was killed before its lines of an attempt must have been written.
func (h *history) killedSoon(a *attempt) bool {
	for _, l := range h.lives {
		if l.node == a.node && l.killed && (span{l.ended, l.ended}).meets(a.sentAt, a.endedAt.Add(logLag)) {
			return true
		}
	}
	return false
}
