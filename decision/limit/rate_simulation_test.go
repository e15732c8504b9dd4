package limit

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Figures of the simulated network and of the rule that users state for limits.
const (
	simulatedTime = 60 * time.Second
	// maxTransit is the longest time of a request from its grant to the endpoint.
	maxTransit     = 100 * time.Millisecond
	boundWindow    = 4 * time.Second
	boundFactor    = 1.5
	boundAllowance = 5
)

// rateSimulation plays the requests of many nodes to one endpoint that limits them.
type rateSimulation struct {
	nodes int
	rate  float64
	// demand is the rate of the requests of all nodes as a multiple of the limit, or their number per second if the limit is 0.
	demand float64
	// uneven gives half of the demand to one node in ten.
	uneven bool
	// cutOff is the share of the nodes that can't reach the owner during half of the time.
	cutOff float64
	// continued is the share of the requests that continue a run.
	continued float64
	// rateChanges halves and doubles the limit every few seconds, ownerRestarts lets the owner lose its budget.
	rateChanges, ownerRestarts bool
}

// rateResult is the result of one play.
type rateResult struct {
	// worst is the largest number of requests over the bound in a window.
	worst float64
	// used is the share of the limit that was used.
	used float64
}

// run plays one seed.
func (s rateSimulation) run(seed uint64) rateResult {
	random := rand.New(rand.NewPCG(seed, 1))
	start := time.Unix(1000, 0)
	owner, standby := NewEndpointBudget(start), NewEndpointBudget(start)
	refusedUntil := make([]time.Time, s.nodes)
	total := s.demand * s.rate
	if total == 0 {
		total = s.demand
	}
	var arrivals []time.Duration
	rates, rate := []statedRate{{0, s.rate}}, s.rate
	for at := time.Duration(0); at < simulatedTime; at += time.Duration(random.ExpFloat64() / total * float64(time.Second)) {
		now := start.Add(at)
		if s.rateChanges && at-rates[len(rates)-1].from > 6*time.Second {
			rate = s.rate * []float64{0.5, 1, 2}[random.IntN(3)]
			rates = append(rates, statedRate{at, rate})
		}
		if s.ownerRestarts && random.Float64() < 0.3/total {
			owner = NewEndpointBudget(now)
		}
		node := random.IntN(s.nodes)
		if s.uneven && random.IntN(2) == 0 {
			node = random.IntN(s.nodes/10 + 1)
		}
		if now.Before(refusedUntil[node]) {
			continue
		}
		ask, budget := Ask{Rate: rate, Continues: random.Float64() < s.continued}, owner
		if float64(node) < s.cutOff*float64(s.nodes) && at/(5*time.Second)%2 == 1 {
			budget, ask.Standby = standby, true
		}
		grant := budget.Take(now, fmt.Sprint(node), ask)
		if !grant.Granted {
			refusedUntil[node] = now.Add(grant.RetryAfter)
			continue
		}
		arrivals = append(arrivals, at+time.Duration(random.Int64N(int64(maxTransit))))
	}
	return s.result(arrivals, rates)
}

// result evaluates the arrivals against the rates that the endpoint has stated.
func (s rateSimulation) result(arrivals []time.Duration, rates []statedRate) rateResult {
	slices.Sort(arrivals)
	result := rateResult{worst: math.Inf(-1), used: float64(len(arrivals)) / (s.rate * simulatedTime.Seconds())}
	first := 0
	for last, at := range arrivals {
		for arrivals[first] <= at-boundWindow {
			first++
		}
		bound := boundFactor*allowedBetween(rates, at-boundWindow, at) + boundAllowance
		result.worst = max(result.worst, float64(last-first+1)-bound)
	}
	return result
}

// statedRate is the rate that the endpoint states from a time on.
type statedRate struct {
	from time.Duration
	rate float64
}

// allowedBetween returns the number of requests that the rates allow between two times. The first rate also holds before its time.
func allowedBetween(rates []statedRate, from, to time.Duration) float64 {
	allowed := 0.0
	for i, r := range rates {
		begin, end := from, to
		if i > 0 {
			begin = max(from, r.from)
		}
		if i+1 < len(rates) {
			end = min(to, rates[i+1].from)
		}
		allowed += r.rate * max(0, end-begin).Seconds()
	}
	return allowed
}
