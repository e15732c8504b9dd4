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

// raceOperators lets operators concurrently change a few objects at various nodes, and returns the history.
func raceOperators(t *testing.T, f *fleet) *history {
	t.Helper()
	h := &history{inForce: make([][]int64, fleetSize)}
	start := time.Now()
	var observers, operators sync.WaitGroup
	ended := make(chan struct{})
	for i, n := range f.nodes {
		observers.Go(func() {
			for {
				s, changed := n.manager.Current().Watch()
				h.inForce[i] = append(h.inForce[i], s.Revision())
				select {
				case <-changed:
				case <-ended:
					return
				}
			}
		})
	}
	operations := make(chan porcupine.Operation, racingOperators*racingChanges)
	for operator := range racingOperators {
		operators.Go(func() {
			for n := range racingChanges {
				node := f.nodes[(operator*5+n*7)%fleetSize]
				name := fmt.Sprint("dc", n%racingObjects)
				op := porcupine.Operation{ClientId: operator, Call: int64(time.Since(start))}
				in, out, err := requestChange(t.Context(), node, name, fmt.Sprintf("op-%d-%d", operator, n))
				var restored *config.RestoredError
				if errors.As(err, &restored) || !assert.Check(t, err) {
					// The Changer detects some injected faults itself and refuses further changes.
					return
				}
				op.Input, op.Output, op.Return = in, out, int64(time.Since(start))
				operations <- op
				time.Sleep(time.Duration(1+(operator*13+n*29)%40) * time.Millisecond)
			}
		})
	}
	operators.Wait()
	close(operations)
	for op := range operations {
		h.operations = append(h.operations, op)
	}
	time.Sleep(2 * targetInForceStalled)
	close(ended)
	observers.Wait()
	for _, n := range f.nodes {
		h.final = append(h.final, n.manager.Current().Load())
	}
	return h
}

// requestChange changes one object, expecting its revision in force on the node. It sends a change of unknown outcome again
// with the same operation id, as operators are instructed to do.
func requestChange(ctx context.Context, n *fleetNode, name, id string) (changeInput, changeOutput, error) {
	ref := config.Ref{Kind: config.KindDataCentre, Name: name}
	in := changeInput{object: name}
	if stored := n.manager.Current().Load().Get(ref); stored != nil {
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
			return in, changeOutput{accepted: true, revision: accepted.Revision}, nil
		case errors.As(err, &conflict):
			out := changeOutput{}
			if conflict.Stored != nil {
				out.revision = conflict.Stored.Revision
			}
			return in, out, nil
		case backing.ErrUnknownOutcome.Has(err), backing.ErrUnavailable.Has(err):
			time.Sleep(outcomePollInterval)
		default:
			return in, changeOutput{}, err
		}
	}
}

// raceWithFaults lets operators race on the key-value service that wrap returns, with half of the links stalled. It returns
// the history and the problems that the checker finds.
func raceWithFaults(t *testing.T, wrap func(backing.KV) backing.KV) (h *history, problems []string) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(7, wrap)
		defer f.stop()
		f.stallHalfOfLinks()
		h = raceOperators(t, f)
		problems = h.findProblems()
	})
	return h, problems
}

// Guards against a revision in force that decreases, a lost accepted change, and answers to racing operators that are not
// linearizable, while answers of the key-value service are lost and half of the links are stalled.
func TestAnswersToRacingOperatorsAreLinearizable(t *testing.T) {
	h, problems := raceWithFaults(t, func(kv backing.KV) backing.KV { return answerLosingKV{KV: kv, callCount: newCallCount()} })
	assert.Equal(t, len(problems), 0, "%v", problems)
	assert.Equal(t, len(h.operations), racingOperators*racingChanges)
	accepted := 0
	for _, op := range h.operations {
		if op.Output.(changeOutput).accepted {
			accepted++
		}
	}
	t.Logf("%d changes accepted, %d refused as conflicts", accepted, len(h.operations)-accepted)
	assert.Assert(t, accepted > 0 && accepted < len(h.operations), "no change conflicted, or none was accepted")
}

// Guards against a checker that misses faults. It must detect a service that drops acknowledged writes, a service that
// ignores conditions, a node whose revision decreases, and a lost change.
func TestCheckerFindsInjectedFaults(t *testing.T) {
	_, dropped := raceWithFaults(t, func(kv backing.KV) backing.KV {
		return writeDroppingKV{answerLosingKV{KV: kv, callCount: newCallCount()}}
	})
	assert.Assert(t, len(dropped) > 0)
	t.Log("problems found with dropped writes:", dropped)
	_, unconditional := raceWithFaults(t, func(kv backing.KV) backing.KV { return conditionIgnoringKV{KV: slowKV{KV: kv}} })
	assert.Assert(t, len(unconditional) > 0)
	t.Log("problems found with ignored conditions:", unconditional)
	decreasing := &history{inForce: [][]int64{{1, 2, 1}}}
	assert.Equal(t, len(decreasing.findProblems()), 1)
	lost := &history{
		operations: []porcupine.Operation{{Input: changeInput{object: "dc0"}, Output: changeOutput{accepted: true, revision: 1}, Return: 1}},
		final:      []*config.Snapshot{config.NewSnapshot(1, nil)},
	}
	assert.Equal(t, len(lost.findProblems()), 1)
}
