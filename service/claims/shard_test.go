package claims

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"azuredyke.dev/azuredyke/common/message"
	"azuredyke.dev/azuredyke/decision/claim"
	decision "azuredyke.dev/azuredyke/decision/ownership"
	"azuredyke.dev/azuredyke/fake/faultykv"
)

// Guards against a second grant for a key after a failover, against an outcome lost in a failover, and against tasks that
// keep running after their context has ended.
func TestClaimSurvivesFailover(t *testing.T) {
	defer goleak.VerifyNone(t)
	synctest.Test(t, func(t *testing.T) {
		s := newCluster(t, 3, defaultOptions())
		held, finished, free := keyOf(1, 1), keyOf(1, 2), keyOf(1, 3)
		for _, key := range []message.ClaimKey{held, finished, free} {
			assert.Equal(t, s.nodes[0].claim(key, "a").Status, message.ClaimGranted)
			assert.Equal(t, s.nodes[1].claim(key, "a").Status, message.ClaimGranted, "claim repeated by the same attempt")
			assert.Equal(t, s.nodes[2].claim(key, "b").Status, message.ClaimHeld)
		}
		outcome := &message.ClaimOutcome{Status: 201, ContentType: "text/plain", Body: []byte("ok")}
		assert.NilError(t, s.nodes[2].settle(message.ClaimSettle{Key: finished, Attempt: "a", Outcome: outcome}))
		assert.NilError(t, s.nodes[2].settle(message.ClaimSettle{Key: held, Attempt: "b", Released: true}))
		assert.NilError(t, s.nodes[2].settle(message.ClaimSettle{Key: free, Attempt: "a", Released: true}))
		time.Sleep(time.Second)
		oldOwner := s.owner(held)
		oldOwner.stop()
		time.Sleep(settleTime)
		newOwner := s.owner(held)
		assert.Assert(t, newOwner != nil && newOwner != oldOwner)
		assert.Equal(t, newOwner.claim(held, "c").Status, message.ClaimHeld, "only the attempt that holds a claim may release it")
		reply := newOwner.claim(finished, "c")
		assert.Equal(t, reply.Status, message.ClaimFinished)
		assert.DeepEqual(t, reply.Outcome, outcome)
		assert.Equal(t, newOwner.claim(free, "c").Status, message.ClaimGranted)
	})
}

// Guards against a claim that is granted or permanently refused while the outcome of its write is unknown, and against
// claims that wait during an outage of the key-value service instead of being refused at once.
func TestUnresolvedBatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newCluster(t, 1, defaultOptions())
		n, key := s.nodes[0], keyOf(1, 1)
		n.kv.ExemptRenewLease.Store(true)
		n.kv.Mode.Store(int32(faultykv.Refuse))
		assert.Equal(t, n.claim(key, "a").Status, message.ClaimUnavailable)
		start := time.Now()
		reply := n.claim(keyOf(1, 2), "a")
		assert.Equal(t, reply.Status, message.ClaimUnavailable)
		assert.Assert(t, reply.RetryAfter > 0)
		assert.Equal(t, time.Since(start), time.Duration(0), "the claim was not refused at once")
		n.kv.Mode.Store(int32(faultykv.LoseAnswer))
		time.Sleep(2 * maxRetryDelay)
		assert.Equal(t, n.claim(key, "b").Status, message.ClaimHeld, "the batch with the lost response was not read back")
		assert.Equal(t, n.claim(keyOf(1, 3), "a").Status, message.ClaimGranted)
	})
}

// Guards against a grant by an owner whose lease is not confirmed, against a grant to an attempt whose release arrived
// before its claim, and against a key reused with another fingerprint.
func TestRefusals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newCluster(t, 1, defaultOptions())
		n, key := s.nodes[0], keyOf(1, 1)
		assert.Equal(t, n.claim(key, "a").Status, message.ClaimGranted)
		assert.NilError(t, n.settle(message.ClaimSettle{Key: keyOf(1, 2), Attempt: "late", Released: true}))
		assert.Equal(t, n.claim(keyOf(1, 2), "late").Status, message.ClaimUnavailable)
		reply, err := n.client.Claim(t.Context(), message.ClaimRequest{Key: key, Attempt: "b", Fingerprint: 2})
		assert.NilError(t, err)
		assert.Equal(t, reply.Status, message.ClaimMismatch)
		n.kv.Mode.Store(int32(faultykv.Refuse))
		time.Sleep(settleTime)
		assert.Equal(t, n.claim(key, "a").Status, message.ClaimUnavailable)
	})
}

// Guards against a grant by an owner whose write was paused and takes effect after a new owner has granted the same key.
func TestWriteOfPausedOwnerIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newCluster(t, 2, defaultOptions())
		key := keyOf(1, 1)
		oldOwner := s.owner(key)
		oldOwner.kv.Mode.Store(int32(faultykv.Stall))
		late := make(chan message.ClaimReply, 1)
		go func() {
			reply, err := oldOwner.client.Claim(context.Background(), message.ClaimRequest{Key: key, Attempt: "late"})
			if err == nil {
				late <- reply
			}
		}()
		time.Sleep(faultykv.PauseDuration - time.Second)
		newOwner := s.owner(key)
		assert.Assert(t, newOwner != nil && newOwner != oldOwner)
		assert.Equal(t, newOwner.claim(key, "a").Status, message.ClaimGranted)
		assert.Assert(t, (<-late).Status != message.ClaimGranted)
		time.Sleep(2 * faultykv.PauseDuration)
		result, err := s.kv.Range(t.Context(), shardName(key)+"/")
		assert.NilError(t, err)
		assert.Equal(t, len(result.Entries), 1)
	})
}

// Guards against a hand-over that loses outcomes that the shard has accepted but not stored yet.
func TestDrainWaitsForOutcomes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newCluster(t, 1, defaultOptions())
		n, key := s.nodes[0], keyOf(1, 1)
		assert.Equal(t, n.claim(key, "a").Status, message.ClaimGranted)
		assert.NilError(t, n.settle(message.ClaimSettle{Key: key, Attempt: "a", Outcome: &message.ClaimOutcome{Status: 200}}))
		assert.NilError(t, n.shards.Drain(t.Context(), shardName(key)))
		result, err := s.kv.Range(t.Context(), shardName(key)+"/")
		assert.NilError(t, err)
		var kinds []claim.Kind
		_, err = readBatches(result.Entries, func(r claim.Record) { kinds = append(kinds, r.Kind) })
		assert.NilError(t, err)
		assert.DeepEqual(t, kinds, []claim.Kind{claim.KindClaimed, claim.KindFinished})
	})
}

// Guards against small batches that accumulate, against a merge that changes the state of a claim, and against claims
// kept beyond the retention period.
func TestBatchesAreMergedAndExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		options := defaultOptions()
		options.Retention = 10 * time.Minute
		s := newCluster(t, 2, options)
		const claims = 600
		for i := range claims {
			assert.Equal(t, s.nodes[i%2].claim(keyOf(2, i), "a").Status, message.ClaimGranted)
			time.Sleep(50 * time.Millisecond)
			if i%3 == 0 {
				assert.NilError(t, s.nodes[0].settle(message.ClaimSettle{Key: keyOf(2, i), Attempt: "a", Released: true}))
			}
		}
		batches := func() int {
			result, err := s.kv.Range(t.Context(), decision.ClaimShardName(2)+"/")
			assert.NilError(t, err)
			return len(result.Entries)
		}
		time.Sleep(2 * time.Minute)
		assert.Assert(t, batches() < 100, "%d batches", batches())
		s.owner(keyOf(2, 0)).stop()
		time.Sleep(settleTime)
		newOwner := s.owner(keyOf(2, 0))
		for i := range claims {
			want := message.ClaimHeld
			if i%3 == 0 {
				want = message.ClaimGranted
			}
			if got := newOwner.claim(keyOf(2, i), "b").Status; got != want {
				t.Fatalf("claim %d: got status %v, want %v", i, got, want)
			}
		}
		time.Sleep(options.Retention + 2*time.Minute)
		assert.Equal(t, batches(), 0)
		assert.Equal(t, newOwner.claim(keyOf(2, 1), "c").Status, message.ClaimGranted)
	})
}

// Guards against a write rate that overloads the key-value service at the design size (docs/design.md, section 1.2). The
// test runs on synthetic time, so the count does not depend on the machine.
func TestWritesForClaimRate(t *testing.T) {
	const (
		claimsPerSecond    = 2500
		maxWritesPerSecond = 300
		seconds            = 10
		nodes              = 8
	)
	synctest.Test(t, func(t *testing.T) {
		s := newCluster(t, nodes, defaultOptions())
		for _, n := range s.nodes {
			n.kv.Latency.Store(int64(5 * time.Millisecond))
		}
		var (
			callers sync.WaitGroup
			granted = make([]bool, claimsPerSecond*seconds)
		)
		before := s.writes.Load()
		start := time.Now()
		for i := range granted {
			time.Sleep(time.Until(start.Add(time.Duration(i) * time.Second / claimsPerSecond)))
			callers.Go(func() {
				n := s.nodes[i%nodes]
				key := keyOf(i%decision.ClaimShards, i/decision.ClaimShards)
				granted[i] = n.claim(key, "a").Status == message.ClaimGranted
				_ = n.settle(message.ClaimSettle{Key: key, Attempt: "a", Outcome: &message.ClaimOutcome{Status: 200}})
			})
		}
		time.Sleep(time.Until(start.Add(seconds * time.Second)))
		writes := s.writes.Load() - before
		callers.Wait()
		for i := range granted {
			assert.Assert(t, granted[i], "claim %d was not granted", i)
		}
		t.Logf("%d claims in %d s made %d writes (%d/s)", len(granted), seconds, writes, writes/seconds)
		assert.Assert(t, writes <= maxWritesPerSecond*seconds, "%d writes in %d s", writes, seconds)
	})
}

// Guards against a stored form that loses a field, against an estimate of the stored size that is too low, and against a
// truncated batch that decodes without an error.
func TestCodec(t *testing.T) {
	records := []claim.Record{
		{Kind: claim.KindClaimed, Key: keyOf(1, 2), Fingerprint: 3, Attempt: "a", At: time.UnixMilli(5)},
		{
			Kind: claim.KindFinished, Key: keyOf(1, 3), Fingerprint: 1 << 63, Attempt: "b", At: time.UnixMilli(6),
			Outcome: &message.ClaimOutcome{Status: 200, ContentType: "x", Body: []byte{0, 1}, BodyDropped: true},
		},
	}
	data, err := encodeBatch(records)
	assert.NilError(t, err)
	total := 0
	for _, r := range records {
		total += r.Bytes()
	}
	assert.Assert(t, len(data) <= total, "the estimate of the size is too low")
	decoded, err := decodeBatch(data)
	assert.NilError(t, err)
	assert.DeepEqual(t, decoded, records)
	_, err = decodeBatch(data[:len(data)-1])
	assert.Assert(t, Error.Has(err))
}
