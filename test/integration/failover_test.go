package integration

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"azuredyke.dev/azuredyke/fake/engine"
	"azuredyke.dev/azuredyke/test/harness"
)

// failoverBound is the time within which another node must serve the cells of a killed or paused owner. The harness sets a
// lease of 3 s, which is shorter than the default of 6 s.
const failoverBound = 10 * time.Second

// Guards against cells without an owner after their owner was killed or paused, and against a resumed former owner that
// together with the new one overloads a cold engine.
func TestCellsMoveFromLostOwner(t *testing.T) {
	for name, lose := range map[string]func(*harness.Node){
		"killed": (*harness.Node).Kill, "paused": (*harness.Node).Pause,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := harness.Start(t, harness.Options{
				Nodes: 2, Engines: 2, ColdLimit: 1, MaxConcurrency: 4,
				Engine: engine.Options{Tokens: 8, StepTime: 20 * time.Millisecond, ColdSlowdown: 8, StartsCold: true},
			})
			owner, other := s.Nodes[0], s.Nodes[1]
			if s.OwnerOf("cells/"+harness.Model) == other {
				owner, other = other, owner
			}
			s.Ask(requestContext(t), other, "before", true).AssertComplete(t)
			lose(owner)
			lost := time.Now()
			attempt := 0
			s.Await("the other node serves the owner's cells", failoverBound, func() bool {
				attempt++
				return s.Ask(requestContext(t), other, fmt.Sprint("after ", attempt), true).Done
			})
			t.Logf("served %v after the owner was lost", time.Since(lost).Round(time.Millisecond))
			if name == "paused" {
				owner.Continue()
			}
			answers := make(chan harness.Answer)
			const requests = 12
			for i := range requests {
				go func() { answers <- s.Ask(requestContext(t), other, fmt.Sprint("load ", i), i%2 == 0) }()
			}
			for range requests {
				(<-answers).AssertComplete(t)
			}
			for i, e := range s.Engines {
				assert.Equal(t, e.Stats().ColdExcess, int64(0), "engine %d", i)
			}
		})
	}
}
