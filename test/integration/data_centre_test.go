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
	// evacuationBound is the time after which a data centre that was taken out of service must receive no new work.
	evacuationBound = 3 * time.Second
	// maxAnswers limits the number of answers that a load records.
	maxAnswers = 1 << 15
	// refusalPause is the time that a caller waits after an error response.
	refusalPause = 100 * time.Millisecond
	// callersPerNode is high enough that the load exceeds the concurrency of one data centre's engines.
	callersPerNode = 8
)

// load is a group of callers that send requests until they are stopped.
type load struct {
	stop    context.CancelFunc
	callers sync.WaitGroup
	answers chan harness.Answer
}

// startLoad starts perNode callers at every node, which send streamed and non-streamed requests in turn.
func startLoad(t *testing.T, s *harness.Site, perNode int) *load {
	ctx, stop := context.WithCancel(t.Context())
	l := &load{stop: stop, answers: make(chan harness.Answer, maxAnswers)}
	for i := range perNode * len(s.Nodes) {
		l.callers.Go(func() {
			for n := 0; ctx.Err() == nil && len(l.answers) < maxAnswers/2; n++ {
				a := s.Ask(requestContext(t), s.Nodes[i%len(s.Nodes)], fmt.Sprintf("note %d of %d", n, i), n%2 == 0)
				l.answers <- a
				if a.Status != http.StatusOK {
					time.Sleep(refusalPause)
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

// stopAndCollect stops the callers and returns their answers.
func (l *load) stopAndCollect() []harness.Answer {
	l.stop()
	l.callers.Wait()
	close(l.answers)
	var all []harness.Answer
	for a := range l.answers {
		all = append(all, a)
	}
	return all
}

// westEngines returns the engines of the data centre west, and a function that returns the number of generations that they
// have started.
func westEngines(s *harness.Site) ([]*harness.Engine, func() int64) {
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

// Guards against overloading a cold engine when its data centre returns to service under load, against new work for a data
// centre that is out of service, and against answers that either change truncates.
func TestColdLimitHoldsWhenDataCentreReturns(t *testing.T) {
	t.Parallel()
	// A cold engine takes 160 ms per token, longer than completed work may take to count as fast enough.
	checkColdLimit(t, 8)
}

// Guards against overloading cold engines that take only 80 ms per token, which the dispatcher classifies as warming.
func TestColdLimitHoldsForSlightlySlowerEngines(t *testing.T) {
	t.Parallel()
	checkColdLimit(t, 4)
}

// checkColdLimit takes a data centre out of service and back under load, with engines that are slower by the given factor while
// cold.
func checkColdLimit(t *testing.T, slowdown float64) {
	t.Helper()
	s := harness.Start(t, harness.Options{
		DataCentres: []string{"east", "west"}, Nodes: nodesPerSite, Engines: 2, ColdLimit: 1, MaxConcurrency: 4,
		Engine: engine.Options{
			Tokens: 8, StepTime: 20 * time.Millisecond, ColdSlowdown: slowdown, WarmAfter: 4, StartsCold: true, CrashesWhenOverloadedCold: true,
			LoadLag: 200 * time.Millisecond,
		},
	})
	callers := startLoad(t, s, callersPerNode)
	engines, started := westEngines(s)
	s.Await("west works", requestTimeout, func() bool { return started() > 10 })

	s.SetDataCentre(s.Nodes[0], "west", operatorv1.DataCentreState_DATA_CENTRE_STATE_OUT)
	time.Sleep(evacuationBound)
	atOut := started()
	time.Sleep(time.Second)
	assert.Equal(t, started(), atOut, "a data centre that is out of service received new work")

	for _, e := range engines {
		e.Crash()
	}
	time.Sleep(time.Second)
	s.SetDataCentre(s.Nodes[len(s.Nodes)-1], "west", operatorv1.DataCentreState_DATA_CENTRE_STATE_IN)
	s.Await("west works again", requestTimeout, func() bool { return started() > atOut+30 })
	answers := callers.stopAndCollect()
	for i, e := range s.Engines {
		stats := e.Stats()
		assert.Equal(t, stats.ColdExcess, int64(0), "engine %d", i)
		assert.Assert(t, !stats.Cold, "engine %d is still cold", i)
	}
	for _, a := range answers {
		// A refusal as not run is allowed for a request that was queued for the data centre when it was taken out.
		if a.Status == http.StatusServiceUnavailable && a.Verdict == verdict.NotRun.String() {
			continue
		}
		a.AssertComplete(t)
	}
}

// Guards against refused requests when one of two data centres is taken out of service although the other has capacity.
func TestNoRequestIsRefusedWhenDataCentreLeaves(t *testing.T) {
	t.Parallel()
	s := harness.Start(t, harness.Options{
		DataCentres: []string{"east", "west"}, Nodes: nodesPerSite, Engines: 1, ColdLimit: 4, MaxConcurrency: 4,
		Engine: engine.Options{Tokens: 10, StepTime: 10 * time.Millisecond},
	})
	callers := startLoad(t, s, callersPerNode)
	_, started := westEngines(s)
	s.Await("west works", requestTimeout, func() bool { return started() > 20 })
	s.SetDataCentre(s.Nodes[0], "west", operatorv1.DataCentreState_DATA_CENTRE_STATE_OUT)
	time.Sleep(evacuationBound)
	for _, a := range callers.stopAndCollect() {
		a.AssertComplete(t)
	}
}
