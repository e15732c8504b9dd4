package integration

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"azuredyke.dev/azuredyke/common/verdict"
	"azuredyke.dev/azuredyke/fake/plainservice"
	"azuredyke.dev/azuredyke/test/harness"
)

// Guards against a reservation that runs twice because its caller sends it to two nodes concurrently, and against a
// reservation that neither node runs.
func TestSameKeyAtTwoNodesRunsOnce(t *testing.T) {
	t.Parallel()
	s := harness.Start(t, harness.Options{
		PlainEndpoints: 2, ColdLimit: 8, MaxConcurrency: 64, Plain: plainservice.Options{Latency: 50 * time.Millisecond},
	})
	const keys = 20
	answers := make(chan harness.PlainAnswer)
	post := func(node, key int) harness.PlainAnswer {
		return s.Post(requestContext(t), s.Nodes[node], "/reserve", fmt.Sprint("key-", key), fmt.Sprint("unit ", key))
	}
	s.Await("claims are accepted", requestTimeout, func() bool { return post(0, -1).Status == http.StatusOK })
	for key := range keys {
		for node := range 2 {
			go func() { answers <- post(node, key) }()
		}
	}
	for range 2 * keys {
		a := <-answers
		assert.NilError(t, a.Err)
		assert.Assert(t, a.Verdict != verdict.NotRun.String(), "%d %s", a.Status, a.Body)
	}
	for key := range keys {
		a := post(0, key)
		assert.Equal(t, a.Status, http.StatusOK, "%s", a.Body)
		assert.Equal(t, a.Verdict, verdict.Ran.String())
	}
	runs := map[string]int{}
	for _, p := range s.PlainEndpoints {
		for key, n := range p.Stats().Runs {
			runs[key] += n
		}
	}
	for key := range keys {
		assert.Equal(t, runs[fmt.Sprint("key-", key)], 1, "key %d", key)
	}
}
