package admission

import (
	"time"

	"azuredyke.dev/azuredyke/common/message"
	"azuredyke.dev/azuredyke/decision/placement"
)

// endpoint is what a cell knows about one endpoint.
type endpoint struct {
	message.Endpoint
	state State
	limit int
	// grants holds the open grants by number.
	grants map[uint64]*grant
	// alone counts the open grants of requests that must run alone.
	alone int
	// inherited counts the work of earlier owners that load reports have not shown to be gone.
	inherited int
	// completed counts the requests finished at the present limit.
	completed int
	// coldSince is when the endpoint became cold, and coldStarts how often it did. Work from before raises no limit, even
	// if it is reported later.
	coldSince  time.Time
	coldStarts int
	// baseline is set when load was taken after coldSince, so that what the next report counts more was done since.
	baseline bool

	// candidate is the endpoint as placement sees it; steps is its model of the step time.
	candidate placement.Candidate
	steps     placement.StepModel

	load message.LoadReport
	// taken is a moment before the figures of load were taken.
	taken time.Time
	// samples are the reports that were too new to tell own work from other work.
	samples []sample
	// ends are the grants that ended after the newest report was taken; endedOfReport counts those that it counted.
	ends          []ended
	endedOfReport int
	// sinceReport counts the open grants that were made after the newest report was taken.
	sinceReport int
	// failures counts the failed load reports in a row.
	failures int

	// suspectSince, nextProbe and backoff belong to the state Suspect.
	suspectSince time.Time
	nextProbe    time.Time
	backoff      time.Duration
	// refusedAt is when the endpoint last refused as busy; it gets no work until a report that is newer.
	refusedAt time.Time

	// absent, listed, reported and refused are the sources that say the endpoint is leaving: it is missing in the host
	// list, the host list says so, the load report says so, or a refusal said so in this incarnation.
	absent, listed, reported, refused bool
}

// inFlight returns the requests that the endpoint may be running: open grants and inherited work, and at least what the
// newest report counted, corrected by what began and ended since it was taken. The report bounds the excess when another
// owner sends work too.
func (e *endpoint) inFlight() int {
	counted := e.load.Running + e.load.Waiting + e.sinceReport - e.endedOfReport
	return max(len(e.grants)+e.inherited, counted)
}

// admits reports whether one more request may start.
func (e *endpoint) admits(now time.Time, confirmed bool) bool {
	if !e.refusedAt.IsZero() && !e.taken.After(e.refusedAt) {
		return false
	}
	switch e.state {
	case Warm:
		return e.inFlight() < e.limit
	case Cold, Warming:
		return confirmed && e.inFlight() < e.limit
	case Suspect:
		return confirmed && !now.Before(e.nextProbe) && e.failures == 0 && e.inFlight() == 0
	default:
		return false
	}
}

// isLeaving reports whether any source says that the endpoint is leaving.
func (e *endpoint) isLeaving() bool { return e.absent || e.listed || e.reported || e.refused }

// updateLeaving enters or leaves the state Leaving. An endpoint that stays after all is cold.
func (e *endpoint) updateLeaving(now time.Time, p Params) {
	switch {
	case e.isLeaving() && e.state != Gone:
		e.state = Leaving
	case e.state == Leaving:
		e.state = Unknown
		if !e.taken.IsZero() {
			e.becomeCold(now, p)
		}
	}
}

// becomeCold starts the endpoint from the cold limit.
func (e *endpoint) becomeCold(now time.Time, p Params) {
	e.state, e.limit, e.completed, e.coldSince = Cold, p.coldLimit(), 0, now
	e.coldStarts++
	e.baseline = false
}

// becomeSuspect stops new work until a token arrives or a probe succeeds. Unknown and leaving endpoints get no work
// anyway and keep their state.
func (e *endpoint) becomeSuspect(now time.Time) {
	switch e.state {
	case Cold, Warming, Warm:
		e.state, e.suspectSince, e.backoff = Suspect, now, firstProbe
		e.nextProbe = now.Add(e.backoff)
	}
}

// probeFailed doubles the wait for the next probe.
func (e *endpoint) probeFailed(now time.Time) {
	e.backoff = min(max(2*e.backoff, firstProbe), maxProbe)
	e.nextProbe = now.Add(e.backoff)
}

// sawToken ends the state Suspect: the endpoint works and starts from the cold limit.
func (e *endpoint) sawToken(p Params) {
	if e.state == Suspect {
		e.state, e.limit, e.completed = Warming, p.coldLimit(), 0
	}
}

// creditCompleted counts completed work that was fast enough. The limit doubles after as many completions as it allows
// at once; the first time, after at least as many as the service says that a cold start takes.
func (e *endpoint) creditCompleted(n int, p Params) {
	if e.state != Cold && e.state != Warming {
		return
	}
	e.completed += n
	for e.limit < p.MaxConcurrency && e.completed >= e.needed(p) {
		e.completed -= e.needed(p)
		e.limit = min(2*e.limit, p.MaxConcurrency)
		e.state = Warming
	}
	if e.limit >= p.MaxConcurrency && (e.state == Warming || e.completed >= e.limit) {
		e.state, e.completed = Warm, 0
	}
}

// needed returns the number of completions at which the limit rises.
func (e *endpoint) needed(p Params) int {
	if e.state == Cold {
		return max(e.limit, p.warmAfter())
	}
	return e.limit
}

// clampLimit applies changed parameters.
func (e *endpoint) clampLimit(p Params) {
	if e.state == Warm {
		e.limit = p.MaxConcurrency
		return
	}
	e.limit = min(max(e.limit, p.coldLimit()), p.MaxConcurrency)
}

// takesWork reports whether the endpoint's state lets it receive new work once its limit has room.
func (e *endpoint) takesWork() bool { return e.state == Cold || e.state == Warming || e.state == Warm }
