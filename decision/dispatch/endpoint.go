package dispatch

import (
	"math"
	"time"

	"azuredyke.dev/azuredyke/common/catalog"
	"azuredyke.dev/azuredyke/decision/fleet"
	"azuredyke.dev/azuredyke/decision/placement"
)

const (
	// firstAvoid and maxAvoid bound the time for which an endpoint that accepted no connection is avoided. It doubles with
	// each failure in a row.
	firstAvoid = 500 * time.Millisecond
	maxAvoid   = 4 * time.Second
	// brokenAvoid is how long an endpoint is avoided after a run broke there, long enough for a crash to show.
	brokenAvoid = 300 * time.Millisecond
	// refusedAvoid is how long a full endpoint is left alone.
	refusedAvoid = 100 * time.Millisecond
	// misdirectedAvoid outlasts the time until the entry of an endpoint whose address was reused is removed.
	misdirectedAvoid = 5 * time.Second
	// failureMemory is the weight that earlier outcomes keep at each new one; 0.9 looks back on about ten.
	failureMemory = 0.9
	// plainQueue is the number of requests for each slot of a plain endpoint that may be in flight; one runs and one waits.
	plainQueue = 2
	// coldWindow is the length of the window in which the cold limit holds.
	coldWindow = time.Second
	// coldReserve is the part of the cold limit that nodes divide between them, since sends of one second can arrive
	// within less.
	coldReserve = 0.8
	// coldMargin is added to a cold start for requests that are on their way when it ends, and for the lag of the entry.
	coldMargin = 500 * time.Millisecond
)

// endpoint is the state of one endpoint.
type endpoint struct {
	fleet.Endpoint
	service   *catalog.Service
	candidate placement.Candidate
	out       bool

	own Load
	// others is what all other nodes have in flight together.
	others Load

	// leaves is set once the endpoint itself said that it leaves.
	leaves     bool
	avoidUntil time.Time
	unreached  int
	failures   float64
	coldUntil  time.Time
	// coldSends are the latest sends while cold.
	coldSends []time.Time
}

// refresh brings the candidate up to date and reports whether it admits a request, leaving cold limits aside.
func (e *endpoint) refresh(now time.Time, dataCentre string) bool {
	inFlight := e.own.InFlight + e.others.InFlight
	tokens, prefill := e.own.Tokens+e.others.Tokens, e.own.Prefill+e.others.Prefill
	c := &e.candidate
	c.ID, c.InFlight, c.Prefill, c.Other = e.ID, inFlight, prefill, float64(tokens)
	c.Failures, c.Nearby = e.failures, e.DataCentre == dataCentre
	c.Limit = plainQueue * max(1, e.Slots)
	if engine := e.service.Engine; engine != nil {
		c.Limit, c.Capacity = max(1, engine.Slots), float64(engine.Capacity)
	}
	c.Admits = !e.Leaving && !e.leaves && !e.out && !now.Before(e.avoidUntil) && inFlight < c.Limit
	return c.Admits
}

// isCold reports whether the endpoint may still be in its cold start.
func (e *endpoint) isCold(now time.Time) bool {
	return e.service.ColdRate > 0 && now.Before(e.coldUntil)
}

// coldAdmits reports whether this node's share of the cold limit allows one more send.
func (e *endpoint) coldAdmits(now, started time.Time, p Params, nodes int) bool {
	if !e.isCold(now) {
		return true
	}
	share := (e.service.ColdRate*p.ColdOverage + p.ColdSlack) * coldReserve / float64(nodes)
	window := coldWindow
	if share < 1 {
		// A share below one request a second is one request in a longer window.
		window, share = time.Duration(float64(coldWindow)/share), 1
	}
	if now.Sub(started) < window {
		return false
	}
	recent := 0
	for _, at := range e.coldSends {
		if now.Sub(at) < window {
			recent++
		}
	}
	return recent < int(math.Floor(share))
}

// sent notes a send for the cold limit.
func (e *endpoint) sent(now time.Time) {
	if !e.isCold(now) {
		e.coldSends = e.coldSends[:0]
		return
	}
	e.coldSends = append(e.coldSends, now)
}

// ended learns from the end of a run.
func (e *endpoint) ended(now time.Time, o Outcome) {
	avoid := time.Duration(0)
	switch o {
	case Succeeded:
		e.failures *= failureMemory
		e.unreached = 0
	case Failed:
		e.failures = e.failures*failureMemory + 1 - failureMemory
		e.unreached = 0
	case Refused:
		avoid = refusedAvoid
		e.unreached = 0
	case Broken:
		e.failures = e.failures*failureMemory + 1 - failureMemory
		avoid = brokenAvoid
	case Misdirected:
		avoid = misdirectedAvoid
	case Unreachable:
		avoid = min(maxAvoid, firstAvoid<<min(e.unreached, 4))
		e.unreached++
	case Cancelled:
	}
	if until := now.Add(avoid); avoid > 0 && until.After(e.avoidUntil) {
		e.avoidUntil = until
	}
}
