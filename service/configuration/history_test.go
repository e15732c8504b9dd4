package configuration

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"gotest.tools/v3/assert"

	"azuredyke.dev/azuredyke/decision/config"
	"azuredyke.dev/azuredyke/platform"
)

// asked is one operator's change of an object, made against a revision.
type asked struct {
	object   string
	expected int64
}

// answered is what the operator was told.
type answered struct {
	accepted bool
	// revision is that of the change when it was accepted, and that of the stored object of a conflict.
	revision int64
}

// history is what operators and nodes saw.
type history struct {
	operations []porcupine.Operation
	// inForce holds the revisions that each node had in force, in order.
	inForce [][]int64
	// final is the configuration on each node at the end.
	final []*config.Snapshot
}

// objectModel is one object as a register whose value is its revision: a change is accepted exactly when it was made
// against that revision, and a conflict shows it.
var objectModel = porcupine.Model{
	Partition: func(all []porcupine.Operation) [][]porcupine.Operation {
		byObject := map[string][]porcupine.Operation{}
		for _, op := range all {
			byObject[op.Input.(asked).object] = append(byObject[op.Input.(asked).object], op)
		}
		var parts [][]porcupine.Operation
		for _, part := range byObject {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() any { return int64(0) },
	Step: func(state, input, output any) (bool, any) {
		in, out := input.(asked), output.(answered)
		if out.accepted {
			return in.expected == state.(int64) && out.revision > state.(int64), out.revision
		}
		return in.expected != state.(int64) && out.revision == state.(int64), state
	},
}

// check returns what is wrong with a history.
func (h *history) check() []string {
	var problems []string
	if !porcupine.CheckOperations(objectModel, h.operations) {
		problems = append(problems, "the answers to the operators fit no order of the changes")
	}
	for node, revisions := range h.inForce {
		for i := 1; i < len(revisions); i++ {
			if revisions[i] <= revisions[i-1] {
				problems = append(problems, fmt.Sprintf("node %d went from revision %d to %d", node, revisions[i-1], revisions[i]))
			}
		}
	}
	newest := map[string]int64{}
	for _, op := range h.operations {
		if out := op.Output.(answered); out.accepted {
			newest[op.Input.(asked).object] = max(newest[op.Input.(asked).object], out.revision)
		}
	}
	for node, s := range h.final {
		for name, revision := range newest {
			o := s.Get(config.Ref{Kind: config.KindDataCentre, Name: name})
			if o == nil || o.Revision != revision {
				problems = append(problems, fmt.Sprintf("node %d lost the change of %s at revision %d", node, name, revision))
			}
		}
	}
	return problems
}

const (
	racingOperators = 6
	racingChanges   = 25
	racingObjects   = 2
)

// race lets operators change few objects at random nodes while links stall, and returns what was seen.
func race(t *testing.T, f *fleet) *history {
	t.Helper()
	h := &history{inForce: make([][]int64, fleetSize)}
	start := time.Now()
	var observers, operators sync.WaitGroup
	ended := make(chan struct{})
	for i, n := range f.nodes {
		observers.Go(func() {
			for {
				s, changed := n.keeper.Current().Watch()
				h.inForce[i] = append(h.inForce[i], s.Revision())
				select {
				case <-changed:
				case <-ended:
					return
				}
			}
		})
	}
	seen := make(chan porcupine.Operation, racingOperators*racingChanges)
	for operator := range racingOperators {
		operators.Go(func() {
			for n := range racingChanges {
				node := f.nodes[(operator*5+n*7)%fleetSize]
				name := fmt.Sprint("dc", n%racingObjects)
				op := porcupine.Operation{ClientId: operator, Call: int64(time.Since(start))}
				in, out, err := ask(t.Context(), node, name, fmt.Sprintf("op-%d-%d", operator, n))
				var restored *config.RestoredError
				if errors.As(err, &restored) || !assert.Check(t, err) {
					// The product notices some planted faults itself, and refuses further changes.
					return
				}
				op.Input, op.Output, op.Return = in, out, int64(time.Since(start))
				seen <- op
				time.Sleep(time.Duration(1+(operator*13+n*29)%40) * time.Millisecond)
			}
		})
	}
	operators.Wait()
	close(seen)
	for op := range seen {
		h.operations = append(h.operations, op)
	}
	time.Sleep(2 * targetInForceStalled)
	close(ended)
	observers.Wait()
	for _, n := range f.nodes {
		h.final = append(h.final, n.keeper.Current().Load())
	}
	return h
}

// ask changes one object against the revision that the node has in force. A change of unknown outcome is sent again with
// the same operation id, as operators are told to do.
func ask(ctx context.Context, n *fleetNode, name, id string) (asked, answered, error) {
	ref := config.Ref{Kind: config.KindDataCentre, Name: name}
	in := asked{object: name}
	if stored := n.keeper.Current().Load().Get(ref); stored != nil {
		in.expected = stored.Revision
	}
	change := config.Change{
		Ref: ref, Expected: in.expected, OperationID: id, Actor: "ann", Reason: "race",
		Proposed: &config.Object{Ref: ref, DataCentre: &config.DataCentre{Region: id}},
	}
	for {
		accepted, err := n.changer.Change(ctx, change)
		var conflict *config.ConflictError
		switch {
		case err == nil:
			return in, answered{accepted: true, revision: accepted.Revision}, nil
		case errors.As(err, &conflict):
			out := answered{}
			if conflict.Stored != nil {
				out.revision = conflict.Stored.Revision
			}
			return in, out, nil
		case platform.ErrUnknownOutcome.Has(err), platform.ErrUnavailable.Has(err):
			time.Sleep(resolveDelay)
		default:
			return in, answered{}, err
		}
	}
}

// lossyKV loses the answer of every third transaction; every second one of those takes effect all the same.
type lossyKV struct {
	platform.KV
	calls chan int
}

// Commit implements platform.KV.
func (k lossyKV) Commit(ctx context.Context, txn platform.Txn) (platform.CommitResult, error) {
	n := <-k.calls
	k.calls <- n + 1
	if n%3 != 0 {
		return k.KV.Commit(ctx, txn)
	}
	if n%2 == 0 {
		_, _ = k.KV.Commit(ctx, txn)
	}
	return platform.CommitResult{}, platform.ErrUnknownOutcome.New("answer lost")
}

// forgetfulKV says that every tenth transaction was made, but does not make it: a planted fault.
type forgetfulKV struct {
	lossyKV
}

// Commit implements platform.KV.
func (k forgetfulKV) Commit(ctx context.Context, txn platform.Txn) (platform.CommitResult, error) {
	n := <-k.calls
	k.calls <- n + 1
	if n%10 == 9 {
		return platform.CommitResult{Committed: true}, nil
	}
	return k.KV.Commit(ctx, txn)
}

// carelessKV makes transactions whatever their conditions: a planted fault.
type carelessKV struct {
	platform.KV
}

// Commit implements platform.KV.
func (k carelessKV) Commit(ctx context.Context, txn platform.Txn) (platform.CommitResult, error) {
	txn.Conditions = nil
	return k.KV.Commit(ctx, txn)
}

// runRace races operators on a key-value service with faults and returns what the checker finds.
func runRace(t *testing.T, wrap func(platform.KV) platform.KV) (h *history, problems []string) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(7, wrap)
		defer f.end()
		f.stallHalf()
		h = race(t, f)
		problems = h.check()
	})
	return h, problems
}

func newCalls() chan int {
	calls := make(chan int, 1)
	calls <- 1
	return calls
}

// Guards against a configuration that goes back on a node, an accepted change that is lost, and racing operators who get
// answers that are not true, while answers of the key-value service are lost and half of the links are stalled.
func TestRacingOperatorsGetTrueAnswers(t *testing.T) {
	h, problems := runRace(t, func(kv platform.KV) platform.KV { return lossyKV{KV: kv, calls: newCalls()} })
	assert.Equal(t, len(problems), 0, "%v", problems)
	assert.Equal(t, len(h.operations), racingOperators*racingChanges)
	accepted := 0
	for _, op := range h.operations {
		if op.Output.(answered).accepted {
			accepted++
		}
	}
	t.Logf("%d changes accepted, %d refused as conflicts", accepted, len(h.operations)-accepted)
	assert.Assert(t, accepted > 0 && accepted < len(h.operations), "the operators did not race")
}

// Guards against a checker that sees nothing: it must find a service that loses what it said it wrote, one that ignores
// conditions, and a node that goes back.
func TestCheckerFindsPlantedFaults(t *testing.T) {
	_, forgetful := runRace(t, func(kv platform.KV) platform.KV { return forgetfulKV{lossyKV{KV: kv, calls: newCalls()}} })
	assert.Assert(t, len(forgetful) > 0)
	t.Log("found with lost writes:", forgetful)
	_, careless := runRace(t, func(kv platform.KV) platform.KV { return carelessKV{KV: slowKV{KV: kv}} })
	assert.Assert(t, len(careless) > 0)
	t.Log("found with ignored conditions:", careless)
	back := &history{inForce: [][]int64{{1, 2, 1}}}
	assert.Equal(t, len(back.check()), 1)
	lost := &history{
		operations: []porcupine.Operation{{Input: asked{object: "dc0"}, Output: answered{accepted: true, revision: 1}, Return: 1}},
		final:      []*config.Snapshot{config.NewSnapshot(1, nil)},
	}
	assert.Equal(t, len(lost.check()), 1)
}

// slowKV takes time to write, so that operators race.
type slowKV struct {
	platform.KV
}

// Commit implements platform.KV.
func (k slowKV) Commit(ctx context.Context, txn platform.Txn) (platform.CommitResult, error) {
	time.Sleep(5 * time.Millisecond)
	return k.KV.Commit(ctx, txn)
}
