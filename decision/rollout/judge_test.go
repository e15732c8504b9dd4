package rollout

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// judged is a roll-out whose counts grow evenly.
type judged struct {
	judge *Judge
	plan  Plan
	tally Tally
	// oldRate and targetRate are answers in 250 ms, targetFailures those of the target that fail.
	oldRate, targetRate, targetFailures int
	evidence                            Evidence
}

func newJudged() *judged {
	return &judged{
		judge: NewJudge(JudgeParams{}), plan: Plan{Order: Order{Service: "s", Target: "v2", Duration: 12 * time.Second}, Phase: Observing},
		oldRate: 25, targetRate: 3, evidence: Evidence{OldEndpoints: 8, TargetEndpoints: 8, Unconfirmed: 3},
	}
}

// until plays a roll-out and returns the last decision.
func (j *judged) until(end time.Duration) Decision {
	d := Decision{Phase: j.plan.Phase}
	for j.evidence.Elapsed < end {
		j.evidence.Elapsed += 250 * time.Millisecond
		for i := range j.oldRate {
			j.answer(OldGroup, i, false)
		}
		for i := range j.targetRate {
			j.answer(TargetGroup, i, i < j.targetFailures)
		}
		j.evidence.Tally = j.tally.Clone()
		d = j.judge.Decide(&j.plan, j.evidence)
		j.plan.Phase, j.plan.Reason = d.Phase, d.Reason
	}
	return d
}

func (j *judged) answer(g Group, i int, failed bool) {
	j.tally.RecordSend(g, "r")
	j.tally.Record(Sample{Group: g, Route: "r", Endpoint: endpointNames(8)[i%8], Failed: failed, FirstEvent: 50 * time.Millisecond})
}

// Guards against a promotion before the hand-over time, a completion before the nodes confirm, and one that waits past the margin.
func TestGoodVersionIsPromotedForTheHandOver(t *testing.T) {
	j := newJudged()
	assert.Equal(t, j.until(7750*time.Millisecond).Phase, Observing)
	assert.Equal(t, j.until(9*time.Second).Phase, Promoting)
	j.oldRate, j.targetRate = 0, 28
	assert.Equal(t, j.until(10750*time.Millisecond).Phase, Promoting)
	assert.Equal(t, j.until(11*time.Second).Phase, Completed)
	j.targetFailures = 28
	assert.Equal(t, j.until(12*time.Second).Phase, Completed, "a final phase is never left")
}

// Guards against a hand-over that waits for the deadline when all nodes have confirmed, and one that ends before it was observed.
func TestConfirmedHandOverCompletes(t *testing.T) {
	j := newJudged()
	j.until(9 * time.Second)
	j.evidence.Unconfirmed, j.oldRate, j.targetRate = 0, 0, 28
	assert.Equal(t, j.until(9500*time.Millisecond).Phase, Promoting)
	assert.Equal(t, j.until(10750*time.Millisecond).Phase, Completed)
}

// Guards against a bad version that stays until the deadline, while observing or promoting.
func TestFailuresRevertAtOnce(t *testing.T) {
	j := newJudged()
	j.targetFailures = 2
	assert.Equal(t, j.until(4*time.Second).Phase, Reverted)
	j = newJudged()
	assert.Equal(t, j.until(9*time.Second).Phase, Promoting)
	j.oldRate, j.targetRate, j.targetFailures = 0, 28, 8
	assert.Equal(t, j.until(9750*time.Millisecond).Phase, Reverted)
}

// Guards against completing a version about which nothing is known.
func TestInsufficientEvidenceRevertsAtTheDeadline(t *testing.T) {
	for name, change := range map[string]func(*judged){
		"no target requests":   func(j *judged) { j.targetRate = 0 },
		"no old answers":       func(j *judged) { j.oldRate = 0 },
		"no target endpoint":   func(j *judged) { j.evidence.TargetEndpoints = 0 },
		"few target endpoints": func(j *judged) { j.evidence.TargetEndpoints = 3 },
	} {
		j := newJudged()
		change(j)
		assert.Equal(t, j.until(10750*time.Millisecond).Phase, Observing, name)
		assert.Equal(t, j.until(11*time.Second).Phase, Reverted, name)
	}
}

// Guards against a service without requests that is never rolled out, and one without endpoints that is.
func TestIdleServiceCompletes(t *testing.T) {
	j := newJudged()
	j.oldRate, j.targetRate = 0, 0
	assert.Equal(t, j.until(9*time.Second).Phase, Promoting)
	assert.Equal(t, j.until(11*time.Second).Phase, Completed)
	j = newJudged()
	j.oldRate, j.targetRate, j.evidence.TargetEndpoints = 0, 0, 0
	assert.Equal(t, j.until(11*time.Second).Phase, Reverted)
}

// Guards against a new decider that takes missing counts for a service without requests.
func TestNewDeciderObservesFirst(t *testing.T) {
	j := newJudged()
	j.oldRate, j.targetRate = 0, 0
	j.evidence.Elapsed = 10500 * time.Millisecond
	assert.Equal(t, j.until(11*time.Second).Phase, Reverted)
}

// Guards against a good version that is reverted because one endpoint ended with all its runs.
func TestBurstAtOneEndpointDoesNotRevert(t *testing.T) {
	j := newJudged()
	j.until(4 * time.Second)
	for range 10 {
		j.tally.Record(Sample{Group: TargetGroup, Route: "r", Endpoint: "killed", Failed: true})
	}
	assert.Equal(t, j.until(6*time.Second).Phase, Observing)
}

// Guards against a roll-out of any duration, or counts that shrink with a new decider, that make the judge fail.
func TestAnyDurationReachesAFinalPhase(t *testing.T) {
	for _, d := range []time.Duration{time.Millisecond, time.Second, 3 * time.Second, 5 * time.Second, time.Minute} {
		j := newJudged()
		j.plan.Order.Duration = d
		j.until(d / 2)
		j.tally = Tally{}
		assert.Assert(t, j.until(d).Phase.IsFinal(), "%v", d)
	}
}
