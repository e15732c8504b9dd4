package claims

import (
	"fmt"
	"math"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"

	"azuredyke.dev/azuredyke/common/message"
)

// historyCall is the input of one call in a history: a claim, or a release.
type historyCall struct {
	key     message.ClaimKey
	attempt string
	release bool
}

// claimModel says what one key may answer. Its state is the attempt that holds the claim, or "". A claim that was answered
// with "unavailable" may take effect or not, and so may a release, of which only the sending is known; in the history
// both last for ever.
var claimModel = (&porcupine.NondeterministicModel{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[message.ClaimKey][]porcupine.Operation{}
		for _, op := range history {
			key := op.Input.(historyCall).key
			byKey[key] = append(byKey[key], op)
		}
		var parts [][]porcupine.Operation
		for _, part := range byKey {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() []interface{} { return []interface{}{""} },
	Step: func(state, input, output interface{}) []interface{} {
		holder, c := state.(string), input.(historyCall)
		if c.release {
			if holder == c.attempt {
				return []interface{}{holder, ""}
			}
			return []interface{}{holder}
		}
		switch output.(message.ClaimStatus) {
		case message.ClaimGranted:
			if holder == "" || holder == c.attempt {
				return []interface{}{c.attempt}
			}
		case message.ClaimHeld:
			if holder != "" && holder != c.attempt {
				return []interface{}{holder}
			}
		case message.ClaimUnavailable:
			if holder == "" {
				return []interface{}{holder, c.attempt}
			}
			return []interface{}{holder}
		}
		return nil
	},
	Equal: func(a, b interface{}) bool { return a == b },
}).ToModel()

// historyStep is one step of a fault schedule.
type historyStep struct {
	node, mode int
	wait       time.Duration
}

// history lets callers on all nodes claim a few keys while faults happen, and returns what they saw. A caller that was
// granted a claim sometimes releases it, as a gateway does that could not send a byte; one that was refused for lack of an
// answer always does, and is not sent again with the same attempt.
func history(t *testing.T, steps []historyStep) []porcupine.Operation {
	var (
		ops []porcupine.Operation
		mu  sync.Mutex
	)
	record := func(client int, in historyCall, out message.ClaimStatus, call, end int64) {
		mu.Lock()
		defer mu.Unlock()
		ops = append(ops, porcupine.Operation{ClientId: client, Input: in, Output: out, Call: call, Return: end})
	}
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 3, defaultOptions())
		start := time.Now()
		since := func() int64 { return int64(time.Since(start)) }
		stop := make(chan struct{})
		var callers sync.WaitGroup
		for client := range 6 {
			callers.Go(func() {
				n := s.nodes[client%len(s.nodes)]
				for i := 0; ; i++ {
					select {
					case <-stop:
						return
					case <-time.After(time.Duration(37*(client+1)) * time.Millisecond):
					}
					in := historyCall{key: keyOf(1, i/40), attempt: fmt.Sprintf("%d-%d", client, i)}
					call := since()
					status := n.claim(in.key, in.attempt).Status
					end := since()
					if status == message.ClaimUnavailable {
						end = math.MaxInt64
					}
					record(client, in, status, call, end)
					if status == message.ClaimUnavailable || status == message.ClaimGranted && i%2 == 0 {
						release := historyCall{key: in.key, attempt: in.attempt, release: true}
						record(client, release, 0, since(), math.MaxInt64)
						_ = n.settle(message.ClaimSettle{Key: in.key, Attempt: in.attempt, Released: true})
					}
				}
			})
		}
		for _, step := range steps {
			for i, n := range s.nodes {
				if i == step.node || step.node == len(s.nodes) {
					n.kv.mode.Store(int32(step.mode))
				}
			}
			time.Sleep(step.wait)
		}
		close(stop)
		callers.Wait()
		for _, n := range s.nodes {
			n.kv.mode.Store(int32(faultNone))
		}
	})
	return ops
}

// Guards against two grants for a key without a release by the first holder in between, under lost answers, late writes,
// paused owners, outages and changes of the owner between a claim and its answer.
func TestOneGrantForAKeyUnderFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) historyStep {
			return historyStep{
				node: rapid.IntRange(0, 3).Draw(rt, "node"),
				mode: rapid.IntRange(0, int(faultModes)-1).Draw(rt, "mode"),
				wait: time.Duration(rapid.IntRange(1, 8_000).Draw(rt, "ms")) * time.Millisecond,
			}
		}), 1, 5).Draw(rt, "steps")
		ops := history(t, steps)
		const checkTimeout = time.Minute
		if result := porcupine.CheckOperationsTimeout(claimModel, ops, checkTimeout); result != porcupine.Ok {
			rt.Fatalf("history of %d calls: %v", len(ops), result)
		}
	})
}
