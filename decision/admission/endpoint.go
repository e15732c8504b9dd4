package admission

import (
	"time"

	"azuredyke.dev/azuredyke/common/message"
	"azuredyke.dev/azuredyke/decision/placement"
)

// endpoint is the state of one endpoint in a cell.
type endpoint struct {
	message.Endpoint
	state State
	limit int
	// grants holds the open grants by number.
	grants map[uint64]*grant
	// aloneGrants counts the open grants of requests that must run alone.
	aloneGrants int
	// inherited counts the requests of earlier owners that load reports have not yet shown to have ended.
	inherited int
	// completions counts the requests completed at the present limit.
	completions int
	// coldSince is the time of the last cold start, and coldStarts the number of cold starts. Work from before
	// coldSince raises no limit, even if it is reported later.
	coldSince  time.Time
	coldStarts int
	// hasBaseline is set when load was taken after coldSince, so that any increase in the next report is work done
	// since then.
	hasBaseline bool

	// candidate is the input for the placement policy; steps estimates the step time.
	candidate placement.Candidate
	steps     placement.StepModel

	load message.LoadReport
	// loadTaken is a time just before the figures of load were taken.
	loadTaken time.Time
	// samples holds the reports that are too recent to separate work of this owner from other work.
	samples []sample
	// endedGrants holds the grants that ended after the newest load report was taken; countedEnds is the number of
	// those that the report still counts.
	endedGrants []endedGrant
	countedEnds int
	// uncountedGrants is the number of open grants made after the newest load report was taken.
	uncountedGrants int
	// loadFailures counts the load reports in a row that could not be read.
	loadFailures int

	// suspectSince, nextProbe and probeBackoff apply to the state Suspect.
	suspectSince time.Time
	nextProbe    time.Time
	probeBackoff time.Duration
	// busyAt is when the endpoint last refused a request as busy. It receives no work until a load report is newer.
	busyAt time.Time

	// An endpoint is leaving if any of these is set: the host list does not contain it (delisted), or the host list
	// (listedLeaving), the load report (reportedLeaving) or a refusal of this incarnation (refusedLeaving) says so.
	delisted, listedLeaving, reportedLeaving, refusedLeaving bool
}

// inFlight returns the number of requests that the endpoint may be running. It is at least the number of open grants
// and inherited requests, and at least the count of the newest load report, corrected for the grants that were made or
// ended since. The count of the report bounds the excess when a second owner sends work too.
func (e *endpoint) inFlight() int {
	counted := e.load.Running + e.load.Waiting + e.uncountedGrants - e.countedEnds
	return max(len(e.grants)+e.inherited, counted)
}

// admits reports whether one more request may start.
func (e *endpoint) admits(now time.Time, confirmed bool) bool {
	if !e.busyAt.IsZero() && !e.loadTaken.After(e.busyAt) {
		return false
	}
	switch e.state {
	case Warm:
		return e.inFlight() < e.limit
	case Cold, Warming:
		return confirmed && e.inFlight() < e.limit
	case Suspect:
		return confirmed && !now.Before(e.nextProbe) && e.loadFailures == 0 && e.inFlight() == 0
	default:
		return false
	}
}

// isLeaving reports whether any source says that the endpoint is leaving.
func (e *endpoint) isLeaving() bool {
	return e.delisted || e.listedLeaving || e.reportedLeaving || e.refusedLeaving
}

// updateLeaving sets or clears the state Leaving. An endpoint that is no longer leaving is cold.
func (e *endpoint) updateLeaving(now time.Time, p Params) {
	switch {
	case e.isLeaving() && e.state != Gone:
		e.state = Leaving
	case e.state == Leaving:
		e.state = Unknown
		if !e.loadTaken.IsZero() {
			e.becomeCold(now, p)
		}
	}
}

// becomeCold resets the limit to the cold limit.
func (e *endpoint) becomeCold(now time.Time, p Params) {
	e.state, e.limit, e.completions, e.coldSince = Cold, p.coldLimit(), 0, now
	e.coldStarts++
	e.hasBaseline = false
}

// becomeSuspect stops new work until a token arrives or a probe succeeds. Unknown and leaving endpoints receive no work
// and keep their state.
func (e *endpoint) becomeSuspect(now time.Time) {
	switch e.state {
	case Cold, Warming, Warm:
		e.state, e.suspectSince, e.probeBackoff = Suspect, now, minProbeBackoff
		e.nextProbe = now.Add(e.probeBackoff)
	}
}

// extendProbeBackoff doubles the time until the next probe.
func (e *endpoint) extendProbeBackoff(now time.Time) {
	e.probeBackoff = min(max(2*e.probeBackoff, minProbeBackoff), maxProbeBackoff)
	e.nextProbe = now.Add(e.probeBackoff)
}

// clearSuspect ends the state Suspect after a token: the endpoint works and starts from the cold limit.
func (e *endpoint) clearSuspect(p Params) {
	if e.state == Suspect {
		e.state, e.limit, e.completions = Warming, p.coldLimit(), 0
	}
}

// creditCompletions counts completed work that was fast enough. The limit doubles after as many completions as it
// allows requests at once. The first time, it also needs the number of completions that the service configures for a
// cold start.
func (e *endpoint) creditCompletions(n int, p Params) {
	if e.state != Cold && e.state != Warming {
		return
	}
	e.completions += n
	for e.limit < p.MaxConcurrency && e.completions >= e.completionsToRaise(p) {
		e.completions -= e.completionsToRaise(p)
		e.limit = min(2*e.limit, p.MaxConcurrency)
		e.state = Warming
	}
	if e.limit >= p.MaxConcurrency && (e.state == Warming || e.completions >= e.limit) {
		e.state, e.completions = Warm, 0
	}
}

// completionsToRaise returns the number of completions at which the limit doubles.
func (e *endpoint) completionsToRaise(p Params) int {
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

// takesWork reports whether the state of the endpoint allows new work when its limit has room.
func (e *endpoint) takesWork() bool { return e.state == Cold || e.state == Warming || e.state == Warm }
