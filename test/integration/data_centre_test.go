package integration

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"azuredyke.dev/azuredyke/common/verdict"
	"azuredyke.dev/azuredyke/fake/engine"
	operatorv1 "azuredyke.dev/azuredyke/gen/azuredyke/operator/v1"
	"azuredyke.dev/azuredyke/test/harness"
)

const (
	// outWithin is the time after which a data centre that was taken out receives no new work.
	outWithin = 3 * time.Second
	// maxAnswers bounds the answers of one load.
	maxAnswers = 1 << 15
	// refusedPause is how long a refused caller waits.
	refusedPause = 100 * time.Millisecond
	// callersPerNode gives more load than the engines of one data centre take at once.
	callersPerNode = 8
)

// load is callers that ask until they are stopped.
type load struct {
	stop    context.CancelFunc
	callers sync.WaitGroup
	answers chan harness.Answer
}

// startLoad lets callers ask through every node.
func startLoad(t *testing.T, s *harness.Site, perNode int) *load {
	ctx, stop := context.WithCancel(t.Context())
	l := &load{stop: stop, answers: make(chan harness.Answer, maxAnswers)}
	for i := range perNode * len(s.Nodes) {
		l.callers.Go(func() {
			for n := 0; ctx.Err() == nil && len(l.answers) < maxAnswers/2; n++ {
				a := s.Ask(requestContext(t), s.Nodes[i%len(s.Nodes)], fmt.Sprintf("note %d of %d", n, i), n%2 == 0)
				l.answers <- a
				if a.Status != http.StatusOK {
					// A refused caller waits before it asks again.
					time.Sleep(refusedPause)
				}
			}
		})
	}
	t.Cleanup(func() {
		stop()
		l.callers.Wait()
	})
	return l
}

// end stops the callers and returns what they received.
func (l *load) end() []harness.Answer {
	l.stop()
	l.callers.Wait()
	close(l.answers)
	var all []harness.Answer
	for a := range l.answers {
		all = append(all, a)
	}
	return all
}

// west returns the engines of the data centre west, and a function that counts the generations that they started.
func west(s *harness.Site) ([]*harness.Engine, func() int64) {
	var engines []*harness.Engine
	for _, e := range s.Engines {
		if e.DataCentre == "west" {
			engines = append(engines, e)
		}
	}
	return engines, func() (sum int64) {
		for _, e := range engines {
			sum += e.Stats().Started
		}
		return sum
	}
}

// Guards against a cold engine that receives more than it bears when its data centre comes back under load, against work
// for a data centre that is out, and against answers that are cut short by either change.
func TestColdLimitHoldsWhenDataCentreReturns(t *testing.T) {
	t.Parallel()
	// A cold engine takes 160 ms for a token, which is above the time at which completed work counts as fast enough.
	checkColdLimit(t, 8)
}

// Guards against the same when cold engines take 80 ms for a token, at which the dispatcher takes them to be warming.
func TestColdLimitHoldsForEnginesThatAreLittleSlower(t *testing.T) {
	t.Parallel()
	checkColdLimit(t, 4)
}

// checkColdLimit takes a data centre out and back under load, with engines that are slower by a factor while cold.
func checkColdLimit(t *testing.T, slowdown float64) {
	t.Helper()
	s := harness.Start(t, harness.Options{
		DataCentres: []string{"east", "west"}, Nodes: siteNodes, Engines: 2, ColdLimit: 1, MaxConcurrency: 4,
		Engine: engine.Options{
			Tokens: 8, StepTime: 20 * time.Millisecond, ColdSlowdown: slowdown, WarmAfter: 4, StartsCold: true, ColdFallsOver: true,
			LoadLag: 200 * time.Millisecond,
		},
	})
	callers := startLoad(t, s, callersPerNode)
	engines, started := west(s)
	s.Await("west works", requestTimeout, func() bool { return started() > 10 })

	s.SetDataCentre(s.Nodes[0], "west", operatorv1.DataCentreState_DATA_CENTRE_STATE_OUT)
	time.Sleep(outWithin)
	atOut := started()
	time.Sleep(time.Second)
	assert.Equal(t, started(), atOut, "a data centre that is out received new work")

	for _, e := range engines {
		e.Crash()
	}
	time.Sleep(time.Second)
	s.SetDataCentre(s.Nodes[len(s.Nodes)-1], "west", operatorv1.DataCentreState_DATA_CENTRE_STATE_IN)
	s.Await("west works again", requestTimeout, func() bool { return started() > atOut+30 })
	answers := callers.end()
	for i, e := range s.Engines {
		stats := e.Stats()
		assert.Equal(t, stats.ColdExcess, int64(0), "engine %d", i)
		assert.Assert(t, !stats.Cold, "engine %d is still cold", i)
	}
	for _, a := range answers {
		// A refusal that says "not run" is an honest answer to a request that waited for a data centre which went out.
		if a.Status == http.StatusServiceUnavailable && a.Verdict == verdict.NotRun.String() {
			continue
		}
		a.AssertComplete(t)
	}
}

// Guards against requests that are refused when one of two data centres is taken out, although the other has room.
func TestNoRequestIsRefusedWhenDataCentreLeaves(t *testing.T) {
	t.Parallel()
	s := harness.Start(t, harness.Options{
		DataCentres: []string{"east", "west"}, Nodes: siteNodes, Engines: 1, ColdLimit: 4, MaxConcurrency: 4,
		Engine: engine.Options{Tokens: 10, StepTime: 10 * time.Millisecond},
	})
	callers := startLoad(t, s, callersPerNode)
	_, started := west(s)
	s.Await("west works", requestTimeout, func() bool { return started() > 20 })
	s.SetDataCentre(s.Nodes[0], "west", operatorv1.DataCentreState_DATA_CENTRE_STATE_OUT)
	time.Sleep(outWithin)
	for _, a := range callers.end() {
		a.AssertComplete(t)
	}
}
