package soak

import (
	"fmt"
	"time"

	"azuredyke.dev/azuredyke/fake/workers"
)

// findWorkAfterSaidLeaving finds requests that were sent to a node more than leavingBound after the node had passed on an answer
// in which a worker said that it leaves, and that reached this worker from the node.
func findWorkAfterSaidLeaving(h *history) []string {
	var found []string
	heard := map[nodeAndWorker]time.Time{}
	attempts := h.byID()
	for _, a := range h.workers.Arrivals {
		if sent := attempts[a.Request]; sent != nil && a.SaidLeaving && sent.complete() && sent.hasSignature {
			key := nodeAndWorker{sent.node, a.Worker}
			if at, ok := heard[key]; !ok || sent.endedAt.Before(at) {
				heard[key] = sent.endedAt
			}
		}
	}
	for _, a := range h.workers.Arrivals {
		sent := attempts[a.Request]
		if sent == nil {
			continue
		}
		at, ok := heard[nodeAndWorker{sent.node, a.Worker}]
		if ok && sent.sentAt.After(at.Add(leavingBound)) && h.nodeKeptRunning(sent.node, at, a.At) {
			found = append(found, fmt.Sprintf("%s reached %s from node %d %v after the node had heard that it leaves",
				a.Request, a.Worker, sent.node, a.At.Sub(at)))
		}
	}
	return found
}

// findWorkInPause finds workers that received more than pauseRequests requests from a node within the pause that they had asked
// the node for.
func findWorkInPause(h *history) []string {
	var found []string
	attempts := h.byID()
	arrivals := map[nodeAndWorker][]workers.Arrival{}
	for _, a := range h.workers.Arrivals {
		if sent := attempts[a.Request]; sent != nil {
			key := nodeAndWorker{sent.node, a.Worker}
			arrivals[key] = append(arrivals[key], a)
		}
	}
	for key, list := range arrivals {
		for _, refused := range list {
			if !refused.AskedForPause || !h.nodeKeptRunning(key.node, refused.At, refused.At.Add(pauseTime)) {
				continue
			}
			n := 0
			for _, a := range list {
				if a.At.After(refused.At.Add(pauseGrace)) && a.At.Before(refused.At.Add(pauseTime)) {
					n++
				}
			}
			if n > pauseRequests {
				found = append(found, fmt.Sprintf("%s received %d requests from node %d within the pause it had asked for", key.worker, n, key.node))
				break
			}
		}
	}
	return found
}
