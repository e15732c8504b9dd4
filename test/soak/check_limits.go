package soak

import (
	"fmt"
	"slices"
	"time"

	"azuredyke.dev/azuredyke/fake/workers"
)

// findWorkForLeaving finds requests that reached a worker later than leavingBound after its leaving was acknowledged.
func findWorkForLeaving(h *history) []string {
	return h.workAfter(func(d departed, a workers.Arrival) bool {
		return !d.dataCentre && d.name == a.Worker && a.At.After(d.acked.Add(leavingBound))
	})
}

// findWorkForOut finds requests that reached a worker of a data centre later than evacuateBound after it was taken out.
func findWorkForOut(h *history) []string {
	return h.workAfter(func(d departed, a workers.Arrival) bool {
		return d.dataCentre && d.name == dataCentreOf(a.Worker) && a.At.After(d.acked.Add(evacuateBound)) && (d.back.IsZero() || a.At.Before(d.back))
	})
}

func (h *history) workAfter(late func(departed, workers.Arrival) bool) []string {
	var found []string
	attempts := h.byID()
	for _, a := range h.workers.Arrivals {
		sent := attempts[a.Request]
		for _, d := range h.left {
			if sent != nil && late(d, a) && h.calm(sent.node, a.At, a.At) {
				found = append(found, fmt.Sprintf("%s reached %s from node %d %v after %s left", a.Request, a.Worker, sent.node, a.At.Sub(d.acked), d.name))
			}
		}
	}
	return found
}

// dataCentreOf returns where a worker stands, by its name.
func dataCentreOf(worker string) string {
	var place, number int
	for _, form := range []string{"engine-%d-%d", "desk-%d-%d"} {
		if n, _ := fmt.Sscanf(worker, form, &place, &number); n == 2 {
			return dataCentres[place%len(dataCentres)]
		}
	}
	return ""
}

// findRepeats finds windows in which a service got more repeats than the budget of all nodes allows. Arrivals that go on from
// a copy belong to the first one.
func findRepeats(h *history) []string {
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
			within := count(times, first, first.Add(retryWindow))
			asked := 0
			for _, back := range []time.Duration{0, retryWindow / 2, retryWindow} {
				asked = max(asked, count(requests[service], first.Add(-back), first.Add(retryWindow-back)))
			}
			if float64(within) > retryRatio*float64(asked)+retryAllowance {
				found = append(found, fmt.Sprintf("%s got %d repeats of %d requests within %v", service, within, asked, retryWindow))
				break
			}
		}
	}
	return found
}

// findColdExcess finds cold workers that got more in a second than they bear.
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
				found = append(found, fmt.Sprintf("%s got %d requests in a second while cold", worker, n))
				break
			}
		}
	}
	return found
}

// count returns how many of the sorted times are from one moment until before another.
func count(times []time.Time, from, until time.Time) int {
	first, _ := slices.BinarySearchFunc(times, from, time.Time.Compare)
	last, _ := slices.BinarySearchFunc(times, until, time.Time.Compare)
	return last - first
}
