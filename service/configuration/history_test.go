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

	"azuredyke.dev/azuredyke/backing"
	"azuredyke.dev/azuredyke/decision/config"
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
		case backing.ErrUnknownOutcome.Has(err), backing.ErrUnavailable.Has(err):
			time.Sleep(resolveDelay)
		default:
			return in, answered{}, err
		}
	}
}

// runRace races operators on a key-value service with faults and returns what the checker finds.
func runRace(t *testing.T, wrap func(backing.KV) backing.KV) (h *history, problems []string) {
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

// Guards against a configuration that goes back on a node, an accepted change that is lost, and racing operators who get
// answers that are not true, while answers of the key-value service are lost and half of the links are stalled.
func TestRacingOperatorsGetTrueAnswers(t *testing.T) {
	h, problems := runRace(t, func(kv backing.KV) backing.KV { return lossyKV{KV: kv, calls: newCalls()} })
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
	_, forgetful := runRace(t, func(kv backing.KV) backing.KV { return forgetfulKV{lossyKV{KV: kv, calls: newCalls()}} })
	assert.Assert(t, len(forgetful) > 0)
	t.Log("found with lost writes:", forgetful)
	_, careless := runRace(t, func(kv backing.KV) backing.KV { return carelessKV{KV: slowKV{KV: kv}} })
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
