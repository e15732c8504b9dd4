package engine

import (
	"math/rand/v2"
	"strings"
	"time"

	"azuredyke.dev/azuredyke/common/latest"
)

const (
	// idleWait is the time between two wake-ups of an idle task.
	idleWait = time.Hour
	// maxEnded bounds the ended generations that are retained for resumption.
	maxEnded = 16384
	// sweepInterval is the interval between two searches for expired and abandoned generations.
	sweepInterval = 250 * time.Millisecond
)

// task is the state of an engine. It is owned by the goroutine of Run.
type task struct {
	options      Options
	processState *latest.Value[processState]
	batch        *batch
	sequences    map[string]*sequence
	// ended is the number of ended generations in sequences.
	ended int

	// stepDue is the end of the current step; it is zero if no step is running.
	stepDue    time.Time
	stepTime   time.Duration
	sweepDue   time.Time
	restartDue time.Time

	cold           bool
	coldCompleted  int
	completed      int64
	leavingSince   time.Time
	fence          uint64
	role           string
	models         map[string]struct{}
	orders         []pendingOrder
	loads          []recordedLoad
	cacheEvents    []recordedCacheEvent
	lastCacheEvent int64
	lossRand       *rand.Rand
	stats          Stats
}

func newTask(o Options, state *latest.Value[processState]) *task {
	t := &task{
		options: o, processState: state, sequences: map[string]*sequence{}, cold: o.StartsCold,
		lossRand: rand.New(rand.NewPCG(o.Seed, 1)), stats: newStats(),
	}
	t.boot()
	return t
}

// boot starts a process: it resets all state that does not outlive a process.
func (t *task) boot() {
	t.batch = newBatch(t.options, t.recordCacheEvent)
	t.sequences = map[string]*sequence{}
	t.ended, t.coldCompleted, t.completed, t.fence = 0, 0, 0, 0
	t.stepDue, t.restartDue, t.leavingSince = time.Time{}, time.Time{}, time.Time{}
	t.models = map[string]struct{}{}
	if t.options.Model != "" {
		t.models[t.options.Model] = struct{}{}
	}
	t.orders, t.loads, t.cacheEvents, t.role = nil, nil, nil, ""
	t.recordCacheEvent(CacheCleared, 0)
	t.recordLoad(time.Now())
}

// down reports whether the engine has crashed and not yet restarted.
func (t *task) down() bool { return !t.restartDue.IsZero() }

// advance does all work that is due and returns the time until more work is due.
func (t *task) advance(now time.Time) time.Duration {
	if t.down() {
		if now.Before(t.restartDue) {
			return t.restartDue.Sub(now)
		}
		t.boot()
		c := t.processState.Load()
		t.processState.Publish(processState{incarnation: c.incarnation})
	}
	t.sweep(now)
	t.applyOrders(now)
	for range maxCatchUpSteps {
		if t.stepDue.IsZero() || now.Before(t.stepDue) {
			break
		}
		t.endStep(now)
		if t.down() {
			return t.restartDue.Sub(now)
		}
		t.beginStep(now)
	}
	if t.stepDue.IsZero() {
		t.beginStep(now)
	}
	return t.nextWait(now)
}

// maxCatchUpSteps bounds the steps that are run at once after the task was scheduled late.
const maxCatchUpSteps = 4

// nextWait returns the time until the next step, sweep or order is due.
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

// beginStep plans and starts a step. The step starts at the end of the last one if that is recent, otherwise now.
func (t *task) beginStep(now time.Time) {
	start := t.stepDue
	if start.IsZero() || now.Sub(start) > maxCatchUpSteps*t.stepTime {
		start = now
	}
	d := t.batch.planStep()
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

// endStep applies the step that is due and publishes its tokens.
func (t *task) endStep(now time.Time) {
	for _, s := range t.batch.applyStep() {
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
	t.recordLoad(now)
}

// finish ends a generation. The caller must publish its progress.
func (t *task) finish(s *sequence, state generationState, now time.Time) {
	t.batch.remove(s)
	s.state, s.endedAt = state, now
	t.ended++
	t.scheduleSweep(now)
	if state != completed {
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

// crash ends the process: it closes all connections, discards the state and schedules the restart.
func (t *task) crash(now time.Time) {
	if t.down() {
		return
	}
	t.stats.Crashes++
	t.stats.earlierPreemptions += t.batch.preemptions
	t.stats.earlierPrefill += t.batch.prefilled
	c := t.processState.Load()
	t.processState.Publish(processState{down: true, incarnation: c.incarnation + 1})
	t.abortRunning()
	t.stepDue = time.Time{}
	t.restartDue = now.Add(t.options.RestartTime)
	t.cold = true
	t.batch = newBatch(t.options, t.recordCacheEvent)
	t.sequences = map[string]*sequence{}
}

// abortRunning sets every running generation to crashed, which closes the connections of its readers.
func (t *task) abortRunning() {
	for _, s := range t.sequences {
		if s.state == running {
			s.state = crashed
			s.publish()
		}
	}
}

// scheduleSweep schedules a sweep after sweepInterval unless one is scheduled already.
func (t *task) scheduleSweep(now time.Time) {
	if t.sweepDue.IsZero() {
		t.sweepDue = now.Add(sweepInterval)
	}
}

// sweep cancels generations without readers after DetachGrace, and deletes ended ones after Retention or when more than
// maxEnded are retained.
func (t *task) sweep(now time.Time) {
	if t.sweepDue.IsZero() || now.Before(t.sweepDue) {
		return
	}
	t.sweepDue = time.Time{}
	for id, s := range t.sequences {
		switch {
		case s.state != running:
			if now.Sub(s.endedAt) >= t.options.Retention || t.ended > maxEnded {
				delete(t.sequences, id)
				t.ended--
			}
		case s.attached == 0 && now.Sub(s.detachedAt) >= t.options.DetachGrace:
			t.stats.Abandoned++
			t.finish(s, cancelled, now)
			s.publish()
		}
	}
	if len(t.sequences) > 0 {
		t.scheduleSweep(now)
	}
}

// draining reports whether the engine is leaving, and whether it already refuses new requests.
func (t *task) draining(now time.Time) (leaving, refuses bool) {
	leaving = !t.leavingSince.IsZero()
	return leaving, leaving && now.Sub(t.leavingSince) >= t.options.LeaveDelay
}
