package stream

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against lost, duplicate or reordered parts when resumed connections overlap.
func TestAcceptDeliversEachPartOnceInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := rapid.IntRange(1, 50).Draw(t, "total")
		now := time.Unix(0, 0)
		a := NewAssembler(now, 0)
		var delivered []int
		for a.Next() < total {
			// Each connection starts at or before the next part and may skip or repeat parts.
			start := rapid.IntRange(0, a.Next()).Draw(t, "start")
			length := rapid.IntRange(1, 10).Draw(t, "length")
			for n := start; n < min(start+length, total); n++ {
				if rapid.Bool().Draw(t, "lost") {
					continue
				}
				if a.Accept(now, n) == Deliver {
					delivered = append(delivered, n)
				}
			}
			if a.Accept(now, a.Next()) == Deliver {
				delivered = append(delivered, a.Next()-1)
			}
		}
		for i, n := range delivered {
			assert.Equal(t, i, n)
		}
	})
}

// Guards against a truncated answer that counts as complete.
func TestCompleteNeedsFinishReasonAndTerminator(t *testing.T) {
	a := NewAssembler(time.Unix(0, 0), 0)
	assert.Assert(t, !a.IsComplete())
	a.RecordTerminator()
	assert.Assert(t, !a.IsComplete(), "a terminator without a finish reason is a truncated answer")
	a.RecordFinishReason()
	assert.Assert(t, a.IsComplete())
}

// Guards against slow generations that count as stalled although their parts arrive regularly.
func TestStallDeadlineFollowsPace(t *testing.T) {
	now := time.Unix(0, 0)
	a := NewAssembler(now, 0)
	for n := range 20 {
		now = now.Add(200 * time.Millisecond)
		a.Accept(now, n)
	}
	assert.Equal(t, a.StallDeadline(time.Second).Sub(now), 4*time.Second)
	assert.Equal(t, a.StallDeadline(time.Minute).Sub(now), time.Minute)
}
