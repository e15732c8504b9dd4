package soak

import (
	"fmt"
	"time"
)

// findWorkOverLimit finds workers that received more requests in a limitWindow than the limit that they had named allows. Counted are
// those of nodes that have kept running since they passed on an answer with the limit, limitNotice before.
func findWorkOverLimit(h *history) []string {
	var found []string
	attempts := h.byID()
	heard := map[nodeAndWorker]time.Time{}
	namedAt := map[string]time.Time{}
	for _, a := range h.workers.Arrivals {
		if !a.SaidLimit {
			continue
		}
		if _, ok := namedAt[a.Worker]; !ok {
			namedAt[a.Worker] = a.At
		}
		if sent := attempts[a.Request]; sent != nil && sent.complete() && sent.hasSignature {
			key := nodeAndWorker{sent.node, a.Worker}
			if at, ok := heard[key]; !ok || sent.endedAt.Before(at) {
				heard[key] = sent.endedAt
			}
		}
	}
	counted := map[string][]time.Time{}
	for _, a := range h.workers.Arrivals {
		sent, named := attempts[a.Request], namedAt[a.Worker]
		if sent == nil || named.IsZero() || a.At.Before(named.Add(limitContact)) {
			continue
		}
		at, ok := heard[nodeAndWorker{sent.node, a.Worker}]
		if ok && a.At.After(at.Add(limitNotice)) && h.nodeKeptRunning(sent.node, at, a.At) {
			counted[a.Worker] = append(counted[a.Worker], a.At)
		}
	}
	for worker, times := range counted {
		for _, first := range times {
			if n := count(times, first, first.Add(limitWindow)); float64(n) > limitFactor*namedLimit*limitWindow.Seconds()+limitAllowance {
				found = append(found, fmt.Sprintf("%s received %d requests within %v", worker, n, limitWindow))
				break
			}
		}
	}
	return found
}
