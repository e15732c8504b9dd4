package placement

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a prompt that waits behind a short queue of a slow engine, against cached tokens that are counted as work, and
// against engines far beyond a queue of one second that all score the same.
func TestFirstEventScorerCountsTime(t *testing.T) {
	s, r := FirstEventScorer{}, &Request{PromptTokens: 2000}
	slow := Candidate{Prefill: 2000, PromptTokenTime: 0.0002, Nearby: true}
	fast := Candidate{Prefill: 3000, PromptTokenTime: 0.0001, Nearby: true}
	assert.Assert(t, s.Score(r, &fast) > s.Score(r, &slow))
	cached := fast
	cached.CachedTokens = 1500
	assert.Assert(t, s.Score(r, &cached) > s.Score(r, &fast))
	long, longer := fast, fast
	long.Prefill, longer.Prefill = 20_000, 30_000
	assert.Assert(t, s.Score(r, &long)-s.Score(r, &longer) > 0.05)
}

// Guards against work that crosses data centres for less than the crossing costs, and against work that stays although it would
// wait much longer.
func TestWorkCrossesDataCentresForMoreThanTheCost(t *testing.T) {
	s, r := FirstEventScorer{}, &Request{PromptTokens: 2000}
	near, far := Candidate{Prefill: 50, PromptTokenTime: 0.0001, Nearby: true}, Candidate{PromptTokenTime: 0.0001}
	assert.Assert(t, s.Score(r, &near) > s.Score(r, &far))
	near.Prefill = 300
	assert.Assert(t, s.Score(r, &near) < s.Score(r, &far))
	r.OutputTokens = 750
	assert.Assert(t, s.Score(r, &near) > s.Score(r, &far))
	a := AnswerTimeScorer{}
	nearPlain, farPlain := Candidate{Nearby: true, AnswerTime: 0.02}, Candidate{AnswerTime: 0.02}
	assert.Assert(t, a.Score(r, &nearPlain) > a.Score(r, &farPlain))
	nearPlain.InFlight = 1
	assert.Assert(t, a.Score(r, &nearPlain) < a.Score(r, &farPlain))
	farPlain.Slowdown = 2
	assert.Assert(t, a.Score(r, &nearPlain) > a.Score(r, &farPlain))
}

// Guards against short answers that are kept off slow engines, and against engines of unknown speed that get nothing.
func TestEventIntervalCountsForLongAnswersOnly(t *testing.T) {
	s := EventIntervalScorer{}
	fast, slow, unknown := Candidate{EventInterval: 0.02, UsualInterval: 0.03}, Candidate{EventInterval: 0.06, UsualInterval: 0.03}, Candidate{}
	long, short := &Request{OutputTokens: 750}, &Request{OutputTokens: 8}
	assert.Assert(t, s.Score(long, &fast) > s.Score(long, &unknown) && s.Score(long, &unknown) > s.Score(long, &slow))
	assert.Equal(t, s.Score(short, &fast), s.Score(short, &slow))
}
