package claim

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"azuredyke.dev/azuredyke/common/message"
)

// keyState is the state of one key.
type keyState struct {
	kind    Kind
	attempt string
}

func replay(records []Record) map[message.ClaimKey]keyState {
	s := NewSet(time.Hour)
	for _, r := range records {
		s.Replay(r)
	}
	out := map[message.ClaimKey]keyState{}
	for key, e := range s.entries {
		out[key] = keyState{kind: e.record.Kind, attempt: e.record.Attempt}
	}
	return out
}

// drawLog makes random calls on a set and returns the records that became durable, in order.
func drawLog(rt *rapid.T, s *Set) []Record {
	now := time.UnixMilli(0)
	var log []Record
	for range rapid.IntRange(1, 60).Draw(rt, "calls") {
		now = now.Add(time.Second)
		key := message.ClaimKey{byte(rapid.IntRange(0, 2).Draw(rt, "key"))}
		attempt := fmt.Sprint(rapid.IntRange(0, 200).Draw(rt, "attempt"))
		if e, ok := s.entries[key]; ok && rapid.Bool().Draw(rt, "own attempt") {
			attempt = e.record.Attempt
		}
		switch rapid.IntRange(0, 3).Draw(rt, "call") {
		case 0:
			s.Claim(now, message.ClaimRequest{Key: key, Attempt: attempt})
		case 1:
			s.Settle(now, message.ClaimSettle{Key: key, Attempt: attempt, Released: true})
		case 2:
			s.Settle(now, message.ClaimSettle{Key: key, Attempt: attempt, Outcome: &message.ClaimOutcome{}})
		default:
			log = append(log, s.NextBatch(1<<10)...)
			s.MarkDurable()
		}
	}
	for s.Queued() > 0 {
		log = append(log, s.NextBatch(1<<10)...)
		s.MarkDurable()
	}
	return log
}

// Guards against a new owner whose set, replayed from the records, differs from that of the previous owner.
func TestReplayRebuildsSet(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := NewSet(time.Hour)
		got := replay(drawLog(rt, s))
		if len(got) != s.Len() {
			rt.Fatalf("%d claims after replay, %d before", len(got), s.Len())
		}
		for key, e := range s.entries {
			if got[key] != (keyState{kind: e.record.Kind, attempt: e.record.Attempt}) {
				rt.Fatalf("key %x is %v after replay, %v before", key, got[key], e.record)
			}
		}
	})
}

// Guards against a merge after which the log replays to another state, for any merged part of the log.
func TestMergePreservesReplay(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		log := drawLog(rt, NewSet(time.Hour))
		from := rapid.IntRange(0, len(log)).Draw(rt, "from")
		to := rapid.IntRange(from, len(log)).Draw(rt, "to")
		var merged []Record
		merged = append(merged, log[:from]...)
		merged = append(merged, Merge(log[from:to], from == 0)...)
		merged = append(merged, log[to:]...)
		want, got := replay(log), replay(merged)
		if len(want) != len(got) {
			rt.Fatalf("the log replays to %v after the merge, %v before", got, want)
		}
		for key := range want {
			if want[key] != got[key] {
				rt.Fatalf("key %x is %v after the merge, %v before", key, got[key], want[key])
			}
		}
	})
}

// Guards against a claim that is granted before its record is durable.
func TestClaimWaitsForDurableRecord(t *testing.T) {
	now := time.UnixMilli(0)
	s := NewSet(time.Hour)
	c := message.ClaimRequest{Key: message.ClaimKey{1}, Attempt: "a"}
	assert.Assert(t, s.Claim(now, c).Wait)
	assert.Equal(t, len(s.NextBatch(1)), 1, "a batch holds at least one record")
	assert.Assert(t, s.Claim(now, c).Wait)
	assert.Equal(t, len(s.NextBatch(1)), 0, "one batch is in flight at a time")
	s.MarkDurable()
	assert.Equal(t, s.Claim(now, c).Status, message.ClaimGranted)
	c.Attempt = "b"
	assert.Equal(t, s.Claim(now, c).Status, message.ClaimHeld)
	s.Settle(now, message.ClaimSettle{Key: c.Key, Attempt: "other", Released: true})
	assert.Equal(t, s.Queued(), 0, "only the attempt that made a claim can release it")
	s.Settle(now, message.ClaimSettle{Key: c.Key, Attempt: "a", Released: true})
	assert.Assert(t, s.Claim(now, c).Wait, "the release is not durable")
	s.NextBatch(1)
	s.MarkDurable()
	assert.Assert(t, s.Claim(now, c).Wait)
	assert.Equal(t, s.Queued(), 1)
}

// Guards against claims that expire before the end of the retention, or never.
func TestExpire(t *testing.T) {
	now := time.UnixMilli(0)
	s := NewSet(time.Hour)
	s.Replay(Record{Kind: KindClaimed, Key: message.ClaimKey{1}, Attempt: "a", At: now})
	s.Replay(Record{Kind: KindFinished, Key: message.ClaimKey{1}, Attempt: "a", At: now.Add(time.Minute)})
	s.Expire(now.Add(time.Hour + time.Second))
	assert.Equal(t, s.Len(), 1, "the outcome is newer than the claim")
	s.Expire(now.Add(time.Hour + time.Minute))
	assert.Equal(t, s.Len(), 1)
	s.Expire(now.Add(time.Hour + time.Minute + time.Millisecond))
	assert.Equal(t, s.Len(), 0)
}

// Guards against a merged value or a transaction that is too large for the key-value service, and against a merge of
// batches whose writes may still arrive.
func TestMergeRangeIsBounded(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		now := time.UnixMilli(0).Add(time.Hour)
		batches := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) Batch {
			return Batch{
				Bytes:  rapid.IntRange(1, 80<<10).Draw(rt, "bytes"),
				Newest: now.Add(-time.Duration(rapid.IntRange(0, 300).Draw(rt, "age")) * time.Second),
			}
		}), 0, 300).Draw(rt, "batches")
		from, to := MergeRange(batches, now)
		total := 0
		for _, b := range batches[from:to] {
			total += b.Bytes
			if now.Sub(b.Newest) < time.Minute {
				rt.Fatal("a batch younger than one minute was merged")
			}
		}
		if total > 1_000_000 || to-from > 100 {
			rt.Fatalf("the merge has %d bytes in %d batches", total, to-from)
		}
	})
}

// Guards against accepting an old key whose claim may have expired, and against refusing keys without a timestamp.
func TestKeyExpired(t *testing.T) {
	const key = "017f22e2-79b0-7cc3-98c4-dc0c0c07398f" // The example of RFC 9562, of 2022-02-22 19:22:22 UTC.
	at, ok := KeyTime(key)
	assert.Assert(t, ok)
	assert.Equal(t, at.UTC(), time.Date(2022, 2, 22, 19, 22, 22, 0, time.UTC))
	assert.Assert(t, !KeyExpired(key, time.Hour, at.Add(time.Hour)))
	assert.Assert(t, KeyExpired(key, time.Hour, at.Add(time.Hour+time.Millisecond)))
	for _, other := range []string{
		"", "order-17", "017f22e2-79b0-4cc3-98c4-dc0c0c07398f", "017f22e2-79b0-7cc3-08c4-dc0c0c07398f",
		"017f22e2x79b0-7cc3-98c4-dc0c0c07398f", "zz7f22e2-79b0-7cc3-98c4-dc0c0c07398f",
	} {
		_, ok := KeyTime(other)
		assert.Assert(t, !ok, other)
	}
}
