package shutdown

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against a stopping node that accepts, by an estimate, a request whose answer it may have to cut.
func TestOnlyRepeatableWholeAnswersAreAcceptedByAnEstimate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		after := func(name string) time.Time {
			return now.Add(time.Duration(rapid.IntRange(0, 60_000).Draw(t, name)) * time.Millisecond)
		}
		r := Request{
			LatestEnd: after("latest"), ExpectedEnd: after("expected"),
			WholeAnswer: rapid.Bool().Draw(t, "whole"), Repeatable: rapid.Bool().Draw(t, "repeatable"),
		}
		cutAt := after("cut")
		if r.IsAccepted(cutAt) && r.LatestEnd.After(cutAt) {
			assert.Assert(t, r.WholeAnswer && r.Repeatable && !r.ExpectedEnd.After(cutAt))
		}
	})
}

// Guards against a stopping node that refuses requests that end in time.
func TestRequestsThatEndInTimeAreAccepted(t *testing.T) {
	cutAt := time.Unix(1000, 0)
	for _, r := range []Request{
		{LatestEnd: cutAt, ExpectedEnd: cutAt.Add(time.Hour)},
		{LatestEnd: cutAt.Add(time.Hour), ExpectedEnd: cutAt, WholeAnswer: true, Repeatable: true},
	} {
		assert.Assert(t, r.IsAccepted(cutAt))
	}
}
