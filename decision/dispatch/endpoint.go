package dispatch

import (
	"math"
	"time"

	"azuredyke.dev/azuredyke/common/catalog"
	"azuredyke.dev/azuredyke/decision/fleet"
	"azuredyke.dev/azuredyke/decision/placement"
	"azuredyke.dev/azuredyke/decision/rollout"
	"azuredyke.dev/azuredyke/decision/speed"
)

const (
	// minAvoid and maxAvoid bound the time for which an endpoint that accepted no connection is avoided. The time doubles
	// with each consecutive failure.
	minAvoid = 500 * time.Millisecond
	maxAvoid = 4 * time.Second
	// brokenAvoid is the time for which an endpoint is avoided after a run on it broke. If the endpoint has crashed, its
	// failure is detected within this time.
	brokenAvoid = 300 * time.Millisecond
	// refusedAvoid is the time for which an endpoint is avoided after it refused a request.
	refusedAvoid = 100 * time.Millisecond
	// misdirectedAvoid is the time for which an endpoint is avoided after another process answered at its address. It is
	// longer than the removal of the endpoint's entry takes.
	misdirectedAvoid = 5 * time.Second
	// failureDecay is the weight of the earlier outcomes relative to a new one; 0.9 averages over about ten outcomes.
	failureDecay = 0.9
	// requestsPerPlainSlot is the maximum number of requests in flight for each slot of a plain endpoint: one that runs and
	// one that waits.
	requestsPerPlainSlot = 2
	// coldWindow is the length of the window to which the cold limit applies.
	coldWindow = time.Second
	// coldShareFactor is the fraction of the cold limit that the nodes divide between them. The rest allows for requests
	// that are sent over one second but arrive within less.
	coldShareFactor = 0.8
	// coldMargin extends a cold start, for requests that are in transit when it ends and for the delay of the endpoint's
	// entry.
	coldMargin = 500 * time.Millisecond
)

// endpoint is the state of one endpoint.
type endpoint struct {
	fleet.Endpoint
	service       *catalog.Service
	candidate     placement.Candidate
	dataCentreOut bool
	// group is the group in the roll-out of the service, and isExcluded is set if an order names the version that has no plan yet.
	// Both are without meaning if there is no roll-out.
	group      rollout.Group
	isExcluded bool

	own Load
	// others is the others' load on the endpoint.
	others Load
	// usage is the load over time, speed the slowdown of this incarnation.
	usage usage
	speed speed.Estimate

	// number identifies the incarnation, and given is the number of tokens that all nodes have placed on it. othersCounted is the
	// memory of the others' runs that given was last increased by.
	number        uint64
	given         float64
	othersCounted int

	// statement is what the endpoint has said about itself.
	statement       *statement
	avoidUntil      time.Time
	connectFailures int
	failureShare    float64
	coldUntil       time.Time
	// endedAt is the time at which the process was known to have ended; zero if it has answered since. The entry of a process that has
	// started again under this id may be missing, for example while the store is down.
	endedAt time.Time
	// coldSends holds the times of the sends during the current cold start.
	coldSends []time.Time
}

// refreshCandidate updates the candidate and reports whether the endpoint admits a request. It doesn't check the cold limit.
func (e *endpoint) refreshCandidate(now time.Time, dataCentre string) bool {
	inFlight := e.own.InFlight + e.others.InFlight
	tokens, prefill := e.own.Tokens+e.others.Tokens, e.own.Prefill+e.others.Prefill
	c := &e.candidate
	c.ID, c.InFlight, c.Prefill, c.UntrackedMemory = e.ID, inFlight, prefill, float64(tokens)
	c.Failures, c.Nearby = e.failureShare, e.DataCentre == dataCentre
	c.Limit = requestsPerPlainSlot * max(1, e.Slots)
	if engine := e.service.Engine; engine != nil {
		c.Limit, c.Capacity = max(1, engine.Slots), float64(engine.Capacity)
	}
	_, closed := e.statement.closedUntil(now)
	c.Admits = !e.isLeaving() && !e.dataCentreOut && !now.Before(e.avoidUntil) && closed == "" && inFlight < c.Limit
	return c.Admits
}

// advanceUsage adds the time since the last call to the usage.
func (e *endpoint) advanceUsage(now time.Time) {
	e.usage.advance(now, e.own.InFlight+e.others.InFlight, e.own.Prefill+e.others.Prefill)
}

// isLeaving reports whether the endpoint is leaving, by its entry or by what it said itself.
func (e *endpoint) isLeaving() bool { return e.Leaving || e.statement.leaving }

// lastingObstacle returns what prevents all requests to the endpoint for good; empty if nothing does.
func (e *endpoint) lastingObstacle() Obstacle {
	switch {
	case e.isLeaving():
		return Leaving
	case e.dataCentreOut:
		return DataCentreOut
	default:
		return ""
	}
}

// isCold reports whether the endpoint may still be in its cold start. One that has ended is cold when it is back.
func (e *endpoint) isCold(now time.Time) bool {
	return e.service.ColdRate > 0 && e.mayBeCold(now)
}

// mayBeCold is like isCold, but includes endpoints whose cold start is not limited.
func (e *endpoint) mayBeCold(now time.Time) bool {
	return now.Before(e.coldUntil) || !e.endedAt.IsZero()
}

// recordEnd records that the process of the endpoint has ended.
func (e *endpoint) recordEnd(now time.Time) { e.endedAt = now }

// recordAnswer records that the process has answered a request that was placed at placedAt. If it had ended before, it has started again
// since.
func (e *endpoint) recordAnswer(now, placedAt time.Time) {
	if e.endedAt.IsZero() || !placedAt.After(e.endedAt) {
		return
	}
	e.endedAt = time.Time{}
	if until := now.Add(e.service.ColdStart + coldMargin); until.After(e.coldUntil) {
		e.coldUntil = until
	}
}

// coldLimitAdmits reports whether this node's share of the cold limit allows one more send. Until a full window has passed
// since nodeStarted it allows none, because the sends of the node's previous process are unknown.
func (e *endpoint) coldLimitAdmits(now, nodeStarted time.Time, p Params, nodes int) bool {
	if !e.isCold(now) {
		return true
	}
	share := (e.service.ColdRate*p.ColdOverage + p.ColdSlack) * coldShareFactor / float64(nodes)
	window := coldWindow
	if share < 1 {
		// A share below one request per window becomes one request in a longer window.
		window, share = time.Duration(float64(coldWindow)/share), 1
	}
	if now.Sub(nodeStarted) < window {
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

// recordSend counts a send against the cold limit.
func (e *endpoint) recordSend(now time.Time) {
	if !e.isCold(now) {
		e.coldSends = e.coldSends[:0]
		return
	}
	e.coldSends = append(e.coldSends, now)
}

// recordOutcome updates the failure statistics and the time until which the endpoint is avoided.
func (e *endpoint) recordOutcome(now time.Time, o Outcome) {
	avoid := time.Duration(0)
	switch o {
	case Succeeded:
		e.failureShare *= failureDecay
		e.connectFailures = 0
	case Failed:
		e.failureShare = e.failureShare*failureDecay + 1 - failureDecay
		e.connectFailures = 0
	case Refused:
		avoid = refusedAvoid
		e.connectFailures = 0
	case Broken:
		e.failureShare = e.failureShare*failureDecay + 1 - failureDecay
		avoid = brokenAvoid
	case Misdirected:
		avoid = misdirectedAvoid
	case Unreachable, NotListening:
		avoid = min(maxAvoid, minAvoid<<min(e.connectFailures, 4))
		e.connectFailures++
	case Cancelled:
	}
	if until := now.Add(avoid); avoid > 0 && until.After(e.avoidUntil) {
		e.avoidUntil = until
	}
}
