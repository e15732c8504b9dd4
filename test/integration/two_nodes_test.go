package integration

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"azuredyke.dev/azuredyke/fake/engine"
	"azuredyke.dev/azuredyke/test/harness"
)

// Guards against failures between the node that a caller reaches and the node that owns the cell, and against answers that
// are lost, mixed or delivered to another caller.
func TestStreamsOverTwoNodes(t *testing.T) {
	t.Parallel()
	s := harness.Start(t, harness.Options{Nodes: 2, Engines: 2, ColdLimit: 4, Engine: engine.Options{Tokens: 20}})
	answers := make(chan harness.Answer)
	const requests = 8
	for i := range requests {
		go func() {
			answers <- s.Ask(requestContext(t), s.Nodes[i%len(s.Nodes)], fmt.Sprint("note ", i), i%4 < 2)
		}()
	}
	for range requests {
		a := <-answers
		a.AssertComplete(t)
		assert.Equal(t, len(a.Words), 20)
	}
	assert.Equal(t, generationsStarted(s), int64(requests))
}
