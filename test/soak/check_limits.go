package soak

import (
	"fmt"
	"slices"
	"time"

	"azuredyke.dev/azuredyke/fake/workers"
)

// findWorkForLeaving finds requests that reached a worker more than leavingBound after its departure was acknowledged.
func findWorkForLeaving(h *history) []string {
	return h.workAfter(func(d departure, a workers.Arrival) bool {
		return !d.isDataCentre && d.name == a.Worker && a.At.After(d.acknowledgedAt.Add(leavingBound))
	})
}

// findWorkForEvacuated finds requests that reached a worker more than evacuateBound after its data centre was taken out of
// service.
func findWorkForEvacuated(h *history) []string {
	return h.workAfter(func(d departure, a workers.Arrival) bool {
		return d.isDataCentre && d.name == dataCentreOf(a.Worker) && a.At.After(d.acknowledgedAt.Add(evacuateBound)) &&
			(d.returnedAt.IsZero() || a.At.Before(d.returnedAt))
	})
}

func (h *history) workAfter(late func(departure, workers.Arrival) bool) []string {
	var found []string
	attempts := h.byID()
	for _, a := range h.workers.Arrivals {
		sent := attempts[a.Request]
		for _, d := range h.departures {
			if sent != nil && late(d, a) && h.nodeUndisturbed(sent.node, a.At, a.At) {
				found = append(found, fmt.Sprintf("%s reached %s from node %d %v after the departure of %s",
					a.Request, a.Worker, sent.node, a.At.Sub(d.acknowledgedAt), d.name))
			}
		}
	}
	return found
}

// dataCentreOf derives a worker's data centre from its name; empty if the name has another form.
func dataCentreOf(worker string) string {
	var slot, number int
	for _, form := range []string{"engine-%d-%d", "desk-%d-%d"} {
		if n, _ := fmt.Sscanf(worker, form, &slot, &number); n == 2 {
			return dataCentres[slot%len(dataCentres)]
		}
	}
	return ""
}

// findExcessRepeats finds windows in which a service received more repeats than the retry budget of all nodes allows. Arrivals
// that continue from a copy do not count as repeats.
func findExcessRepeats(h *history) []string {
	var found []string
	requests, repeats := map[string][]time.Time{}, map[string][]time.Time{}
	seen := map[string]bool{}
	for _, a := range h.workers.Arrivals {
		switch {
		case a.Continued:
		case seen[a.Request]:
			repeats[a.Service] = append(repeats[a.Service], a.At)
		default:
			seen[a.Request] = true
			requests[a.Service] = append(requests[a.Service], a.At)
		}
	}
	for service, times := range repeats {
		for _, first := range times {
			repeatCount := count(times, first, first.Add(retryWindow))
			requestCount := 0
			for _, back := range []time.Duration{0, retryWindow / 2, retryWindow} {
				requestCount = max(requestCount, count(requests[service], first.Add(-back), first.Add(retryWindow-back)))
			}
			if float64(repeatCount) > retryRatio*float64(requestCount)+retryAllowance {
				found = append(found, fmt.Sprintf("%s received %d repeats of %d requests within %v",
					service, repeatCount, requestCount, retryWindow))
				break
			}
		}
	}
	return found
}

// findColdExcess finds cold workers that received more requests within a second than the cold limit allows.
func findColdExcess(h *history) []string {
	var found []string
	byWorker := map[string][]time.Time{}
	for _, a := range h.workers.Arrivals {
		byWorker[a.Worker] = append(byWorker[a.Worker], a.At)
	}
	for worker, times := range byWorker {
		coldUntil, ok := h.coldUntil[worker]
		if !ok {
			continue
		}
		for _, first := range times {
			if first.After(coldUntil) {
				break
			}
			until := first.Add(time.Second)
			if until.After(coldUntil) {
				until = coldUntil
			}
			if n := count(times, first, until); float64(n) > coldRate*coldOverage+coldSlack {
				found = append(found, fmt.Sprintf("%s received %d requests within a second while cold", worker, n))
				break
			}
		}
	}
	return found
}

// count returns the number of sorted times in [from, until).
func count(times []time.Time, from, until time.Time) int {
	first, _ := slices.BinarySearchFunc(times, from, time.Time.Compare)
	last, _ := slices.BinarySearchFunc(times, until, time.Time.Compare)
	return last - first
}
