package admission

import (
	"time"

	"azuredyke.dev/azuredyke/common/message"
)

// maxSamples bounds the pending load samples. At the default load interval of 200 ms it covers three times
// maxReportDelay.
const maxSamples = 16

// maxEndedGrants bounds the ended grants that are kept between two load reports.
const maxEndedGrants = 4096

// applyLoad updates the endpoint from a load report whose figures were taken at the time taken or later.
func (e *endpoint) applyLoad(now, taken time.Time, load message.LoadReport, activeFrom time.Time, p Params) {
	e.loadFailures = 0
	if taken.Before(e.loadTaken) {
		return
	}
	before := e.load
	restarted := !e.loadTaken.IsZero() && before.Incarnation != load.Incarnation
	if restarted {
		e.refusedLeaving, e.samples = false, nil
		e.steps.Reset()
	}
	e.reportedLeaving = load.Leaving
	if taken.Before(activeFrom) {
		e.updateLeaving(now, p)
		return
	}
	first := e.loadTaken.IsZero()
	e.load, e.loadTaken = load, taken
	e.recountSince(taken)
	switch {
	case first:
		e.inherited = load.Running + load.Waiting
		e.setInitialState(now, taken, load, p)
	case restarted:
		if e.state != Unknown && e.state != Leaving {
			e.becomeCold(taken, p)
		}
	}
	e.steps.Observe(load.Running, load.StepTime)
	decrease := e.reconcile(now, p)
	e.measureMemory()
	if !first && !restarted && e.hasBaseline {
		e.creditInherited(decrease, load.CompletedTotal-before.CompletedTotal, p)
	}
	e.hasBaseline = first || restarted || taken.After(e.coldSince)
	e.updateLeaving(now, p)
}

// setInitialState sets the state at the first load report taken after activeFrom. Completed work of the present
// incarnation shows that the endpoint has finished its cold start, but not that it still works, so the endpoint is
// probed at once.
func (e *endpoint) setInitialState(now, taken time.Time, load message.LoadReport, p Params) {
	if e.state == Leaving {
		return
	}
	e.becomeCold(taken, p)
	if load.CompletedTotal > 0 {
		e.state, e.suspectSince, e.nextProbe, e.probeBackoff = Suspect, now, now, minProbeBackoff
	}
}

// recountSince keeps only the ends after the time taken, and counts the grants that ended or were made since then.
func (e *endpoint) recountSince(taken time.Time) {
	kept := e.endedGrants[:0]
	for _, x := range e.endedGrants {
		if x.endedAt.After(taken) {
			kept = append(kept, x)
		}
	}
	e.endedGrants, e.countedEnds, e.uncountedGrants = kept, 0, 0
	for _, x := range kept {
		if x.grantedAt.Before(taken) {
			e.countedEnds++
		}
	}
	for _, g := range e.grants {
		if !g.grantedAt.Before(taken) {
			e.uncountedGrants++
		}
	}
}

// recordEnd keeps the end of a grant until a newer load report arrives. Ends beyond maxEndedGrants are dropped, and
// their requests stay counted until the next report.
func (e *endpoint) recordEnd(x endedGrant) {
	if len(e.endedGrants) >= maxEndedGrants {
		return
	}
	e.endedGrants = append(e.endedGrants, x)
	if x.grantedAt.Before(e.loadTaken) {
		e.countedEnds++
	}
}

// reconcile releases charges that load reports show to be gone, and returns the decrease of the inherited work. The
// newest report bounds the charges by all work that it counts. A report older than maxReportDelay also separates work
// of this owner from other work: a grant that was reported as started before the report was taken, and has not ended
// since, was part of the count.
func (e *endpoint) reconcile(now time.Time, p Params) int {
	work := e.load.Running + e.load.Waiting
	decrease := e.releaseExcess(e.loadTaken, work, p)
	e.samples = append(e.samples, sample{taken: e.loadTaken, requests: work})
	for len(e.samples) > 0 && (len(e.samples) > maxSamples || !now.Before(e.samples[0].taken.Add(maxReportDelay))) {
		s := e.samples[0]
		e.samples = e.samples[1:]
		if !now.Before(s.taken.Add(maxReportDelay)) {
			decrease += e.releaseExcess(s.taken, s.requests-e.countRunning(now, s.taken, p), p)
		}
	}
	return decrease
}

// countRunning returns the number of own grants that were certainly on the endpoint at the time taken.
func (e *endpoint) countRunning(now, taken time.Time, p Params) int {
	n := 0
	for _, g := range e.grants {
		if !g.startedAt.IsZero() && !g.startedAt.After(taken) && now.Before(g.releasableFrom(p)) {
			n++
		}
	}
	return n
}

// releaseExcess reduces the releasable grants and the inherited work to the number of requests left at the time taken.
// It returns the decrease of the inherited work.
func (e *endpoint) releaseExcess(taken time.Time, left int, p Params) int {
	releasable := 0
	for _, g := range e.grants {
		if !g.releasableFrom(p).After(taken) {
			releasable++
		}
	}
	excess := e.inherited + releasable - max(0, left)
	if excess <= 0 {
		return 0
	}
	for number, g := range e.grants {
		if excess > 0 && !g.releasableFrom(p).After(taken) {
			e.removeGrant(number, g)
			excess--
		}
	}
	e.inherited -= excess
	return excess
}

// removeGrant removes an open grant.
func (e *endpoint) removeGrant(number uint64, g *grant) {
	delete(e.grants, number)
	e.candidate.Memory.Remove(&g.memory)
	if g.tokens == 0 {
		e.candidate.Prefill -= g.request.PromptTokens
	}
	if g.request.Alone {
		e.aloneGrants--
	}
	if !g.grantedAt.Before(e.loadTaken) {
		e.uncountedGrants--
	}
}

// creditInherited credits inherited work that completed at a normal step time.
func (e *endpoint) creditInherited(decrease int, completed int64, p Params) {
	n := min(decrease, int(max(0, completed)))
	if n <= 0 || e.load.StepTime > p.tokenInterval() {
		return
	}
	if e.loadTaken.After(e.suspectSince) {
		e.clearSuspect(p)
	}
	e.creditCompletions(n, p)
}

// recordLoadFailure counts a load report that could not be read.
func (e *endpoint) recordLoadFailure(now time.Time, p Params) {
	e.loadFailures++
	if e.loadFailures >= p.loadFailures() {
		e.becomeSuspect(now)
	}
}
