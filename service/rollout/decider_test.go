package rollout

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"azuredyke.dev/azuredyke/backing"
	"azuredyke.dev/azuredyke/backing/memory"
	"azuredyke.dev/azuredyke/decision/fleet"
	"azuredyke.dev/azuredyke/decision/rollout"
	"azuredyke.dev/azuredyke/platform/records"
)

// lossyStore loses the answers of transactions while loses is set.
type lossyStore struct {
	*memory.KV
	loses bool
}

func (s *lossyStore) Commit(ctx context.Context, txn backing.Txn) (backing.CommitResult, error) {
	result, err := s.KV.Commit(ctx, txn)
	if s.loses && err == nil {
		return backing.CommitResult{}, backing.ErrUnknownOutcome.New("lost")
	}
	return result, err
}

// runDecider runs play with a Decider whose task does not run, in a synctest bubble.
func runDecider(t *testing.T, play func(ctx context.Context, d *Decider, s *lossyStore)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		s := &lossyStore{KV: memory.NewKV()}
		go s.KV.Run(ctx)
		d := NewDecider(zap.NewNop(), "n", nil, nil, nil, s, records.EncodeRolloutStatus, func() Judge { return testJudge{} }, time.Now, tally.NoopScope)
		d.state = &State{Fleet: fleet.NewState().Snapshot()}
		play(ctx, d, s)
	})
}

func commit(ctx context.Context, t *testing.T, s *lossyStore, w backing.Write) {
	t.Helper()
	result, err := s.KV.Commit(ctx, backing.Txn{Writes: []backing.Write{w}})
	assert.NilError(t, err)
	assert.Assert(t, result.Committed)
}

// Guards against a plan that is written by a process that is no longer the decider, or over a plan or a status that it has not read.
func TestWriteNeedsAllConditions(t *testing.T) {
	for name, change := range map[string]backing.Write{
		"": {}, "decider": {Key: DeciderKey, Value: newHolderValue("other")}, "plan": {Key: PlanPrefix + "s", Value: []byte("x")},
		"status": {Key: "status/rollout/s", Value: []byte("x")},
	} {
		t.Run(name, func(t *testing.T) {
			runDecider(t, func(ctx context.Context, d *Decider, s *lossyStore) {
				assert.Assert(t, d.win(ctx))
				r := &storedRollout{}
				assert.Assert(t, d.load(ctx, "s", r))
				if name != "" {
					commit(ctx, t, s, change)
				}
				next := nextPlan(&rollout.Order{Service: "s", Target: "v2", Duration: time.Minute, Revision: 1}, nil, nil)
				d.write(ctx, "s", r, next, rollout.Evidence{})
				stored, err := s.Get(ctx, PlanPrefix+"s")
				assert.NilError(t, err)
				p, err := DecodePlan("s", stored.Value)
				assert.Equal(t, err == nil && p.Decider == "n", name == "")
				assert.Equal(t, r.known, name == "")
				assert.Equal(t, d.term == nil, name == "decider")
			})
		})
	}
}

// Guards against a write that is repeated, or taken for lost, because its answer was lost; also that of the candidacy.
func TestLostAnswersAreResolvedByReading(t *testing.T) {
	runDecider(t, func(ctx context.Context, d *Decider, s *lossyStore) {
		s.loses = true
		assert.Assert(t, d.win(ctx))
		key, err := s.Get(ctx, DeciderKey)
		assert.NilError(t, err)
		assert.Equal(t, d.term.revision, key.ModRevision)
		r := &storedRollout{}
		assert.Assert(t, d.load(ctx, "s", r))
		next := nextPlan(&rollout.Order{Service: "s", Target: "v2", Duration: time.Minute, Revision: 1}, nil, nil)
		d.write(ctx, "s", r, next, rollout.Evidence{})
		stored, err := s.Get(ctx, PlanPrefix+"s")
		assert.NilError(t, err)
		assert.Assert(t, r.known && r.unresolved == nil && stored.ModRevision > 0)
		assert.Equal(t, r.planRevision, stored.ModRevision)
		assert.Equal(t, r.statusRevision, stored.ModRevision)
		assert.DeepEqual(t, r.plan, next)
	})
}

// Guards against a decider that acts on the key of another process of its node.
func TestKeyOfAnEarlierProcessIsNotTaken(t *testing.T) {
	runDecider(t, func(ctx context.Context, d *Decider, s *lossyStore) {
		commit(ctx, t, s, backing.Write{Key: DeciderKey, Value: newHolderValue("n")})
		s.loses = true
		assert.Assert(t, !d.win(ctx))
		assert.Assert(t, d.term == nil)
	})
}

// Guards against a final state that is left because the copy of the store is older than the plan, and against an order that counts as
// removed for the same reason.
func TestFinalStateStaysWhileTheCopyIsOld(t *testing.T) {
	runDecider(t, func(ctx context.Context, d *Decider, s *lossyStore) {
		assert.Assert(t, d.win(ctx))
		order := rollout.Order{Service: "s", Target: "v2", Duration: time.Minute, Revision: 5}
		for _, phase := range []rollout.Phase{rollout.Completed, rollout.Promoting} {
			final := &rollout.Plan{Order: order, Phase: phase}
			commit(ctx, t, s, backing.Write{Key: PlanPrefix + "s", Value: EncodePlan(final)})
			clear(d.rollouts)
			snapshot := fleet.NewState().Snapshot()
			if phase == rollout.Completed {
				snapshot.Orders["s"] = order
			}
			snapshot.Plans["s"] = fleet.StoredPlan{Plan: &rollout.Plan{Order: order, Phase: rollout.Observing}, Revision: 1}
			d.state, d.counts = &State{Fleet: snapshot}, failingCounts{}
			d.decide(ctx, "s")
			stored, err := s.Get(ctx, PlanPrefix+"s")
			assert.NilError(t, err)
			p, err := DecodePlan("s", stored.Value)
			assert.NilError(t, err)
			assert.Equal(t, p.Phase, phase)
		}
	})
}

// failingCounts is the evidence of a version whose answers all fail.
type failingCounts struct{}

func (failingCounts) Evidence(context.Context, *rollout.Plan) (rollout.Evidence, error) {
	var e rollout.Evidence
	for range 100 {
		e.Tally.Record(rollout.Sample{Group: rollout.TargetGroup, Route: "r", Failed: true})
	}
	return e, nil
}

func (failingCounts) OfferStop(Stop) {}

// Guards against a term that outlasts the lease of a process that was suspended.
func TestTermEndsWithItsLease(t *testing.T) {
	runDecider(t, func(ctx context.Context, d *Decider, s *lossyStore) {
		assert.Assert(t, d.win(ctx))
		d.state = &State{Fleet: fleet.NewState().Snapshot(), Holder: Holder{Node: "n", Revision: d.term.revision}}
		time.Sleep(leaseTTL)
		d.step(ctx)
		assert.Assert(t, d.term == nil)
	})
}
