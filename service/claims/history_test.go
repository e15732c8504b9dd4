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
	"azuredyke.dev/azuredyke/fake/faultykv"
)

// historyCall is the input of one operation in a history: a claim, or the release of a claim.
type historyCall struct {
	key     message.ClaimKey
	attempt string
	release bool
}

// claimModel is the specification of granted claims. Its state is the attempt that holds the claim, or "" if none does.
// A release has no known completion time, so its operation in the history never returns. The history leaves out claims
// that were not granted: a claim answered with ClaimUnavailable may hold the key, which would allow every later
// ClaimHeld, and checking some histories with such claims took more than a minute.
var claimModel = porcupine.Model{
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
	Init: func() interface{} { return "" },
	Step: func(state, input, _ interface{}) (bool, interface{}) {
		holder, c := state.(string), input.(historyCall)
		switch {
		case c.release && holder == c.attempt:
			return true, ""
		case c.release:
			return true, holder
		default:
			return holder == "" || holder == c.attempt, c.attempt
		}
	},
}

// historyStep is one step of a fault schedule: it sets the fault mode of a node, or of all nodes, and then waits.
type historyStep struct {
	node, mode int
	wait       time.Duration
}

// callsPerKey is the number of claims that each client makes for one key.
const callsPerKey = 40

// recordHistory runs clients that claim a few keys on all nodes while faults occur, and returns their granted claims and
// releases. A client releases every second granted claim, as a gateway does that could not send the request. It releases
// every claim answered with ClaimUnavailable, and never repeats an attempt.
func recordHistory(t *testing.T, steps []historyStep) []porcupine.Operation {
	var (
		ops []porcupine.Operation
		mu  sync.Mutex
	)
	record := func(client int, in historyCall, call, end int64) {
		mu.Lock()
		defer mu.Unlock()
		ops = append(ops, porcupine.Operation{ClientId: client, Input: in, Call: call, Return: end})
	}
	synctest.Test(t, func(t *testing.T) {
		s := newCluster(t, 3, defaultOptions())
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
					in := historyCall{key: keyOf(1, i/callsPerKey), attempt: fmt.Sprintf("%d-%d", client, i)}
					call := since()
					status := n.claim(in.key, in.attempt).Status
					end := since()
					if status == message.ClaimGranted {
						record(client, in, call, end)
					}
					if status == message.ClaimUnavailable || status == message.ClaimGranted && i%2 == 0 {
						release := historyCall{key: in.key, attempt: in.attempt, release: true}
						if status == message.ClaimGranted {
							record(client, release, since(), math.MaxInt64)
						}
						_ = n.settle(message.ClaimSettle{Key: in.key, Attempt: in.attempt, Released: true})
					}
				}
			})
		}
		time.Sleep(3 * time.Second)
		for _, step := range steps {
			for i, n := range s.nodes {
				if i == step.node || step.node == len(s.nodes) {
					n.kv.Mode.Store(int32(step.mode))
				}
			}
			time.Sleep(step.wait)
		}
		close(stop)
		callers.Wait()
		for _, n := range s.nodes {
			n.kv.Mode.Store(int32(faultykv.None))
		}
	})
	return ops
}

// Guards against two grants for a key without a release by the first holder in between. The faults are lost responses,
// delayed writes, paused owners, outages, and changes of the owner between a claim and its reply.
func TestOneGrantForAKeyUnderFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) historyStep {
			return historyStep{
				node: rapid.IntRange(0, 3).Draw(rt, "node"),
				mode: rapid.IntRange(0, int(faultykv.ModeCount)-1).Draw(rt, "mode"),
				wait: time.Duration(rapid.IntRange(1, 8_000).Draw(rt, "ms")) * time.Millisecond,
			}
		}), 1, 5).Draw(rt, "steps")
		ops := recordHistory(t, steps)
		if len(ops) == 0 {
			rt.Fatal("no claim was granted before the first fault")
		}
		const checkTimeout = time.Minute
		if result := porcupine.CheckOperationsTimeout(claimModel, ops, checkTimeout); result != porcupine.Ok {
			rt.Fatalf("history of %d calls: %v", len(ops), result)
		}
	})
}
