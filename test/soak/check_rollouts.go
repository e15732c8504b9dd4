package soak

import (
	"fmt"
	"slices"
	"time"
)

const (
	// exposureShare and exposureSlack bound the requests to a version that fails, rollbackBound the time after its 50th bad answer
	// within which they stop.
	exposureShare = 0.1
	exposureSlack = 50
	rollbackBound = 5 * time.Second
	badAnswers    = 50
	// orderSeenBound is the time within which nodes that nothing disturbs have seen an order or a final state.
	orderSeenBound = time.Second
)

// findWrongFinalStates finds a final state that was taken back, and a version that failed from the start and was completed.
func findWrongFinalStates(h *history) []string {
	r := h.rollout
	if r == nil {
		return nil
	}
	var found []string
	if at := slices.IndexFunc(r.states, func(s string) bool { return s == stateCompleted || s == stateReverted }); at >= 0 && at < len(r.states)-1 {
		found = append(found, fmt.Sprintf("the states of %s were %v", r.service, r.states))
	}
	if r.isBad && r.final() == stateCompleted && r.finalAt.Sub(r.badFrom) > rollbackBound {
		found = append(found, fmt.Sprintf("%s was completed %v after its target began to fail", r.service, r.finalAt.Sub(r.badFrom)))
	}
	return found
}

// findExcessExposure finds a version that fails and got more than its share of the requests between the order and the deadline.
// A version that only began to fail when it was promoted is excused.
func findExcessExposure(h *history) []string {
	r := h.rollout
	if r == nil || !r.isBad || r.badAfter > 0 {
		return nil
	}
	total, target := 0, 0
	for _, a := range h.workers.Arrivals {
		if a.Service != r.service || a.At.Before(r.ordered) || a.At.After(r.ordered.Add(rolloutDuration)) {
			continue
		}
		total++
		if a.Version == targetVersion {
			target++
		}
	}
	if float64(target) > exposureShare*float64(total)+exposureSlack {
		return []string{fmt.Sprintf("%d of %d requests of %s reached a version that fails", target, total, r.service)}
	}
	return nil
}

// findLateRollbacks finds requests that reached a version that fails more than rollbackBound after its 50th bad answer.
func findLateRollbacks(h *history) []string {
	r := h.rollout
	if r == nil || !r.isBad {
		return nil
	}
	var found []string
	var bad []time.Time
	for _, a := range h.workers.Arrivals {
		if a.Service != r.service || a.Version != targetVersion || a.At.Before(r.badFrom) {
			continue
		}
		bad = append(bad, a.At)
		if len(bad) > badAnswers && a.At.Sub(bad[badAnswers-1]) > rollbackBound {
			found = append(found, fmt.Sprintf("%s reached %s %v after the 50th bad answer", a.Request, a.Worker, a.At.Sub(bad[badAnswers-1])))
		}
	}
	return found
}

// findReplacedVersions finds requests that reached the old version after completed, or the target after reverted, from a node that
// nothing disturbed.
func findReplacedVersions(h *history) []string {
	r := h.rollout
	if r == nil || r.final() == "" {
		return nil
	}
	replaced := oldVersion
	if r.final() == stateReverted {
		replaced = targetVersion
	}
	var found []string
	attempts := h.byID()
	for _, a := range h.workers.Arrivals {
		sent := attempts[a.Request]
		if sent != nil && a.Service == r.service && a.Version == replaced && a.At.After(r.finalAt.Add(orderSeenBound)) && h.nodeUndisturbed(sent.node, a.At, a.At) {
			found = append(found, fmt.Sprintf("%s reached %s %v after %s", a.Request, a.Worker, a.At.Sub(r.finalAt), r.final()))
		}
	}
	return found
}
