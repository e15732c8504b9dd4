package engine

import (
	"math/rand/v2"
	"strings"
	"time"

	"azuredyke.dev/azuredyke/common/latest"
)

const (
	// idleWait is the longest sleep of a task with nothing to do.
	idleWait = time.Hour
	// maxKept bounds the ended generations kept for resumes.
	maxKept = 16384
	// sweepInterval is how often ended and abandoned generations are looked for.
	sweepInterval = 250 * time.Millisecond
)

// task is the state that the goroutine of Run owns.
type task struct {
	options Options
	outside *latest.Value[condition]
	batch   *batch
	known   map[string]*sequence
	// kept counts the ended generations in known.
	kept int

	// stepDue is the end of the present step; zero when no step runs.
	stepDue  time.Time
	stepTime time.Duration
	sweepDue time.Time
	upDue    time.Time

	cold          bool
	coldCompleted int
	completed     int64
	leavingSince  time.Time
	fence         uint64
	role          string
	models        map[string]struct{}
	orders        []pendingOrder
	reports       []takenReport
	cacheEvents   []takenCacheEvent
	cacheNumber   int64
	losses        *rand.Rand
	stats         Stats
}

func newTask(o Options, outside *latest.Value[condition]) *task {
	t := &task{
		options: o, outside: outside, known: map[string]*sequence{}, cold: o.StartsCold,
		losses: rand.New(rand.NewPCG(o.Seed, 1)), stats: newStats(),
	}
	t.boot()
	return t
}

// boot resets what a process loses when it ends.
func (t *task) boot() {
	t.batch = newBatch(t.options, t.cacheChanged)
	t.known = map[string]*sequence{}
	t.kept, t.coldCompleted, t.completed, t.fence = 0, 0, 0, 0
	t.stepDue, t.upDue, t.leavingSince = time.Time{}, time.Time{}, time.Time{}
	t.models = map[string]struct{}{}
	if t.options.Model != "" {
		t.models[t.options.Model] = struct{}{}
	}
	t.orders, t.reports, t.cacheEvents, t.role = nil, nil, nil, ""
	t.cacheChanged(CacheCleared, 0)
	t.takeReport(time.Now())
}

// down reports whether the engine restarts.
func (t *task) down() bool { return !t.upDue.IsZero() }

// advance does all work that is due and returns the wait until the next.
func (t *task) advance(now time.Time) time.Duration {
	if t.down() {
		if now.Before(t.upDue) {
			return t.upDue.Sub(now)
		}
		t.boot()
		c := t.outside.Load()
		t.outside.Publish(condition{incarnation: c.incarnation})
	}
	t.sweep(now)
	t.carryOutOrders(now)
	for range maxStepsInARow {
		if t.stepDue.IsZero() || now.Before(t.stepDue) {
			break
		}
		t.endStep(now)
		if t.down() {
			return t.upDue.Sub(now)
		}
		t.beginStep(now)
	}
	if t.stepDue.IsZero() {
		t.beginStep(now)
	}
	return t.nextWait(now)
}

// maxStepsInARow bounds the steps that are made up for when the machine was late.
const maxStepsInARow = 4

// nextWait returns the time until something is due.
func (t *task) nextWait(now time.Time) time.Duration {
	next := now.Add(idleWait)
	for _, due := range []time.Time{t.stepDue, t.sweepDue} {
		if !due.IsZero() && due.Before(next) {
			next = due
		}
	}
	for _, o := range t.orders {
		if o.due.Before(next) {
			next = o.due
		}
	}
	return max(next.Sub(now), 0)
}

// beginStep plans a step that follows the last one without a pause, or starts now.
func (t *task) beginStep(now time.Time) {
	start := t.stepDue
	if start.IsZero() || now.Sub(start) > maxStepsInARow*t.stepTime {
		start = now
	}
	d := t.batch.begin()
	t.stats.Preemptions = t.batch.preemptions + t.stats.earlierPreemptions
	t.stats.PrefillTokens = t.batch.prefilled + t.stats.earlierPrefill
	if d == 0 {
		t.stepDue = time.Time{}
		return
	}
	if t.cold {
		d = time.Duration(float64(d) * t.options.ColdSlowdown)
	}
	t.stepTime, t.stepDue = d, start.Add(d)
}

// endStep gives out the tokens of the step that is due.
func (t *task) endStep(now time.Time) {
	for _, s := range t.batch.end() {
		t.stats.Tokens++
		if t.options.CrashMarker != "" && strings.Contains(s.prompt.text, t.options.CrashMarker) {
			t.crash(now)
			return
		}
		if s.produced >= s.length {
			t.finish(s, completed, now)
		}
		s.publish()
	}
	t.takeReport(now)
}

// finish ends a generation; its progress is not yet published.
func (t *task) finish(s *sequence, e ending, now time.Time) {
	t.batch.remove(s)
	s.ending, s.endedAt = e, now
	t.kept++
	t.scheduleSweep(now)
	if e != completed {
		t.stats.Cancelled++
		return
	}
	t.completed++
	t.stats.Completed++
	if t.cold {
		t.coldCompleted++
		t.cold = t.coldCompleted < t.options.WarmAfter
	}
}

// crash ends the process: all connections close and everything that it held is lost.
func (t *task) crash(now time.Time) {
	if t.down() {
		return
	}
	t.stats.Crashes++
	t.stats.earlierPreemptions += t.batch.preemptions
	t.stats.earlierPrefill += t.batch.prefilled
	c := t.outside.Load()
	t.outside.Publish(condition{down: true, incarnation: c.incarnation + 1})
	t.closeAll()
	t.stepDue = time.Time{}
	t.upDue = now.Add(t.options.RestartTime)
	t.cold = true
	t.batch = newBatch(t.options, t.cacheChanged)
	t.known = map[string]*sequence{}
}

// closeAll ends every running generation as a crash does.
func (t *task) closeAll() {
	for _, s := range t.known {
		if s.ending == running {
			s.ending = crashed
			s.publish()
		}
	}
}

// scheduleSweep makes sure that ended and abandoned generations are looked at.
func (t *task) scheduleSweep(now time.Time) {
	if t.sweepDue.IsZero() {
		t.sweepDue = now.Add(sweepInterval)
	}
}

// sweep cancels generations that nobody is attached to and forgets those that ended long ago.
func (t *task) sweep(now time.Time) {
	if t.sweepDue.IsZero() || now.Before(t.sweepDue) {
		return
	}
	t.sweepDue = time.Time{}
	for id, s := range t.known {
		switch {
		case s.ending != running:
			if now.Sub(s.endedAt) >= t.options.Retention || t.kept > maxKept {
				delete(t.known, id)
				t.kept--
			}
		case s.attached == 0 && now.Sub(s.detachedAt) >= t.options.DetachGrace:
			t.stats.Abandoned++
			t.finish(s, cancelled, now)
			s.publish()
		}
	}
	if len(t.known) > 0 {
		t.scheduleSweep(now)
	}
}

// draining reports whether the engine is leaving, and whether it refuses new requests already.
func (t *task) draining(now time.Time) (leaving, refuses bool) {
	leaving = !t.leavingSince.IsZero()
	return leaving, leaving && now.Sub(t.leavingSince) >= t.options.LeaveDelay
}
