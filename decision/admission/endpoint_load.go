package admission

import (
	"time"

	"azuredyke.dev/azuredyke/common/message"
)

// maxSamples bounds the reports that wait until own work can be told from other work; it covers reportLag at the default
// interval of 200 ms three times over.
const maxSamples = 16

// maxEnds bounds the ends that are kept between two load reports.
const maxEnds = 4096

// applyLoad takes a report into account whose figures were taken at the given moment or later.
func (e *endpoint) applyLoad(now, taken time.Time, load message.LoadReport, activeFrom time.Time, p Params) {
	e.failures = 0
	if taken.Before(e.taken) {
		return
	}
	before := e.load
	restarted := !e.taken.IsZero() && before.Incarnation != load.Incarnation
	if restarted {
		e.refused, e.samples = false, nil
		e.steps.Reset()
	}
	e.reported = load.Leaving
	if taken.Before(activeFrom) {
		e.updateLeaving(now, p)
		return
	}
	first := e.taken.IsZero()
	e.load, e.taken = load, taken
	e.forgetEnds(taken)
	switch {
	case first:
		e.inherited = load.Running + load.Waiting
		e.firstState(now, taken, load, p)
	case restarted:
		if e.state != Unknown && e.state != Leaving {
			e.becomeCold(taken, p)
		}
	}
	e.steps.Observe(load.Running, load.StepTime)
	fell := e.settle(now, p)
	e.measureMemory()
	if !first && !restarted && e.baseline {
		e.creditInherited(fell, load.CompletedTotal-before.CompletedTotal, p)
	}
	e.baseline = first || restarted || taken.After(e.coldSince)
	e.updateLeaving(now, p)
}

// firstState sets the state at the first report after this owner may admit. Completed work of the present incarnation
// shows that the endpoint is not in a cold start, but not that it still works, so it is probed at once.
func (e *endpoint) firstState(now, taken time.Time, load message.LoadReport, p Params) {
	if e.state == Leaving {
		return
	}
	e.becomeCold(taken, p)
	if load.CompletedTotal > 0 {
		e.state, e.suspectSince, e.nextProbe, e.backoff = Suspect, now, now, firstProbe
	}
}

// forgetEnds keeps what began or ended after the report was taken.
func (e *endpoint) forgetEnds(taken time.Time) {
	kept := e.ends[:0]
	for _, x := range e.ends {
		if x.ended.After(taken) {
			kept = append(kept, x)
		}
	}
	e.ends, e.endedOfReport, e.sinceReport = kept, 0, 0
	for _, x := range kept {
		if x.granted.Before(taken) {
			e.endedOfReport++
		}
	}
	for _, g := range e.grants {
		if !g.at.Before(taken) {
			e.sinceReport++
		}
	}
}

// noteEnd keeps the end of a grant until a report is newer. Beyond the bound, ends are not kept, and the newest report
// goes on counting their requests.
func (e *endpoint) noteEnd(x ended) {
	if len(e.ends) >= maxEnds {
		return
	}
	e.ends = append(e.ends, x)
	if x.granted.Before(e.taken) {
		e.endedOfReport++
	}
}

// settle releases charges that reports show to be gone, and returns by how much the inherited work fell. The newest
// report bounds them by all work that it counted. A report that is older than reportLag also tells own work from other
// work: a grant that was reported as started before the report was taken, and has not ended since, was part of the count.
func (e *endpoint) settle(now time.Time, p Params) int {
	work := e.load.Running + e.load.Waiting
	fell := e.release(e.taken, work, p)
	e.samples = append(e.samples, sample{taken: e.taken, work: work})
	for len(e.samples) > 0 && (len(e.samples) > maxSamples || !now.Before(e.samples[0].taken.Add(reportLag))) {
		s := e.samples[0]
		e.samples = e.samples[1:]
		if !now.Before(s.taken.Add(reportLag)) {
			fell += e.release(s.taken, s.work-e.certain(now, s.taken, p), p)
		}
	}
	return fell
}

// certain counts the own grants that were on the endpoint at the given moment.
func (e *endpoint) certain(now, taken time.Time, p Params) int {
	n := 0
	for _, g := range e.grants {
		if !g.started.IsZero() && !g.started.After(taken) && now.Before(g.doubtFrom(p)) {
			n++
		}
	}
	return n
}

// release lowers the inherited work and the grants in doubt to what was left at the given moment. It returns by how much
// the inherited work fell.
func (e *endpoint) release(taken time.Time, left int, p Params) int {
	doubtful := 0
	for _, g := range e.grants {
		if !g.doubtFrom(p).After(taken) {
			doubtful++
		}
	}
	excess := e.inherited + doubtful - max(0, left)
	if excess <= 0 {
		return 0
	}
	for number, g := range e.grants {
		if excess > 0 && !g.doubtFrom(p).After(taken) {
			e.drop(number, g)
			excess--
		}
	}
	e.inherited -= excess
	return excess
}

// drop removes an open grant.
func (e *endpoint) drop(number uint64, g *grant) {
	delete(e.grants, number)
	e.candidate.Memory.Remove(&g.memory)
	if g.request.Alone {
		e.alone--
	}
	if !g.at.Before(e.taken) {
		e.sinceReport--
	}
}

// creditInherited counts inherited work that completed in time towards the limit.
func (e *endpoint) creditInherited(fell int, completed int64, p Params) {
	n := min(fell, int(max(0, completed)))
	if n <= 0 || e.load.StepTime > p.tokenInterval() {
		return
	}
	if e.taken.After(e.suspectSince) {
		e.sawToken(p)
	}
	e.creditCompleted(n, p)
}

// loadFailed counts a load report that could not be read.
func (e *endpoint) loadFailed(now time.Time, p Params) {
	e.failures++
	if e.failures >= p.loadFailures() {
		e.becomeSuspect(now)
	}
}
