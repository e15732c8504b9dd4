package integration

import (
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"gotest.tools/v3/assert"

	"azuredyke.dev/azuredyke/common/verdict"
	"azuredyke.dev/azuredyke/fake/kvserver"
	"azuredyke.dev/azuredyke/fake/plainservice"
	"azuredyke.dev/azuredyke/test/harness"
)

// reserveOutput is the outcome of one call with an idempotency key.
type reserveOutput struct {
	verdict string
	// run is the id of the run whose answer the caller received; empty if the caller received no answer.
	run string
}

// ambiguousRun is the state of a key that may have run although no caller received an answer.
const ambiguousRun = "?"

// atMostOnceModel specifies that a key runs at most once: all callers that receive an answer receive the answer of the same
// run, and a key that was never claimed may be refused or run. The state of a key is the id of its run, ambiguousRun or empty.
var atMostOnceModel = porcupine.NondeterministicModel{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[any][]porcupine.Operation{}
		for _, o := range history {
			byKey[o.Input] = append(byKey[o.Input], o)
		}
		var parts [][]porcupine.Operation
		for _, part := range byKey {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() []any { return []any{""} },
	Step: func(state, _, output any) []any {
		run, out := state.(string), output.(reserveOutput)
		switch {
		case out.run != "" && (run == "" || run == ambiguousRun || run == out.run):
			return []any{out.run}
		case out.run != "":
			return nil
		case out.verdict == verdict.NotRun.String() || run != "":
			return []any{run}
		default:
			return []any{"", ambiguousRun}
		}
	},
	Equal: func(a, b any) bool { return a == b },
}

// Guards against a key that runs twice or whose callers receive answers of different runs. Nodes race for each key while
// responses of the key-value service are lost after the write and responses of the plain service after the run.
func TestKeysRunOnceWhileAnswersAreLost(t *testing.T) {
	t.Parallel()
	s := harness.Start(t, harness.Options{
		PlainEndpoints: 2, ColdLimit: 16, MaxConcurrency: 64, Plain: plainservice.Options{Latency: 20 * time.Millisecond},
	})
	const (
		keys    = 24
		callers = 4
		calls   = 3
	)
	began := time.Now()
	history := make(chan porcupine.Operation, keys*callers*calls)
	var running sync.WaitGroup
	for key := range keys {
		for caller := range callers {
			running.Go(func() {
				for range calls {
					name := fmt.Sprint("unit-", key)
					o := porcupine.Operation{ClientId: key*callers + caller, Input: name, Call: int64(time.Since(began))}
					o.Output = reserveOutputOf(s.Post(requestContext(t), s.Nodes[caller%len(s.Nodes)], "/reserve", name, name))
					o.Return = int64(time.Since(began))
					history <- o
				}
			})
		}
	}
	for i := range 6 {
		s.KV.LoseAnswers(2, []kvserver.AnswerLoss{kvserver.AnswerLossReset, kvserver.AnswerLossNoReply}[i%2])
		s.PlainEndpoints[i%2].Fail(1, plainservice.FailAfter)
		time.Sleep(100 * time.Millisecond)
	}
	running.Wait()
	close(history)
	var all []porcupine.Operation
	answered := 0
	for o := range history {
		all = append(all, o)
		if o.Output.(reserveOutput).run != "" {
			answered++
		}
	}
	assert.Assert(t, answered > 0, "no caller received an answer")
	assert.Assert(t, porcupine.CheckOperations(atMostOnceModel.ToModel(), all), "the callers of a key received answers that do not come from a single run")
	for i, p := range s.PlainEndpoints {
		for key, runs := range p.Stats().Runs {
			other := s.PlainEndpoints[1-i].Stats().Runs[key]
			assert.Equal(t, runs+other, 1, "key %s", key)
		}
	}
}

// reserveOutputOf extracts the verdict and the run id from an answer of the plain service.
func reserveOutputOf(a harness.PlainAnswer) reserveOutput {
	out := reserveOutput{verdict: a.Verdict}
	var call plainservice.Call
	if a.Status == 200 && json.Unmarshal([]byte(a.Body), &call) == nil {
		out.run = call.RequestID
	}
	return out
}
