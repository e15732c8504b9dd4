package dispatcher

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"azuredyke.dev/azuredyke/common/message"
	"azuredyke.dev/azuredyke/common/verdict"
	"azuredyke.dev/azuredyke/decision/ownership"
)

// started reports the start of a granted request.
func started(t *testing.T, c *Cell, reply message.PlaceReply) {
	t.Helper()
	assert.Assert(t, reply.Grant != nil)
	assert.NilError(t, c.Report(t.Context(), message.GrantReport{
		Cell: testCell, Fence: testFence, Number: reply.Grant.Number, Event: message.GrantStarted,
	}))
}

// Guards against a request that is neither granted nor refused, and against a cell that exceeds the cold limits.
func TestCellGrantsToTheColdLimitAndRefusesLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startSite(t)
		defer s.stop()
		c := s.cell()
		granted := map[string]int{}
		for range 2 {
			reply, err := c.Place(t.Context(), request(time.Minute))
			assert.NilError(t, err)
			granted[reply.Grant.Endpoint.ID]++
			started(t, c, reply)
		}
		assert.DeepEqual(t, granted, map[string]int{"e1": 1, "e2": 1})
		asked := time.Now()
		reply, err := c.Place(t.Context(), request(5*time.Second))
		assert.NilError(t, err)
		assert.Equal(t, reply.Refusal.Reason, verdict.ReasonQueueTimeout)
		assert.Equal(t, time.Since(asked), 5*time.Second)
	})
}

// Guards against a place that is lost because its request was abandoned at the moment of the grant. The loads come and
// go at the same instant as the callers' contexts, so both orders of grant and abandonment occur.
func TestAbandonedGrantIsReturned(t *testing.T) {
	for range 20 {
		synctest.Test(t, func(t *testing.T) {
			s := startSite(t)
			defer s.stop()
			c := s.cell()
			for i := range 20 {
				ctx, cancel := context.WithCancel(t.Context())
				if i%2 == 0 {
					cancel()
				} else {
					go cancel()
				}
				reply, err := c.Place(ctx, request(time.Second))
				cancel()
				if err == nil && reply.Grant != nil {
					assert.NilError(t, c.Report(t.Context(), message.GrantReport{
						Cell: testCell, Fence: testFence, Number: reply.Grant.Number, Event: message.GrantUnused,
					}))
				}
			}
			v, err := c.View(t.Context())
			assert.NilError(t, err)
			assert.Assert(t, v.Counts.Grants > 0)
			for _, e := range v.Endpoints {
				assert.Equal(t, e.InFlight, 0, "%d grants were made", v.Counts.Grants)
			}
		})
	}
}

// Guards against new work for a data centre that is out, and against requests that wait there until their deadline.
func TestDataCentreOutRefusesWaitingRequestsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startSite(t)
		defer s.stop()
		c := s.cell()
		for range 2 {
			_, err := c.Place(t.Context(), request(time.Minute))
			assert.NilError(t, err)
		}
		waiting := make(chan message.PlaceReply)
		go func() {
			reply, _ := c.Place(t.Context(), request(time.Minute))
			waiting <- reply
		}()
		time.Sleep(100 * time.Millisecond)
		s.config.Publish(snapshot(true))
		published := time.Now()
		reply := <-waiting
		assert.Equal(t, reply.Refusal.Reason, verdict.ReasonNoEndpoint)
		assert.Equal(t, time.Since(published), time.Duration(0))
		reply, err := c.Place(t.Context(), request(time.Minute))
		assert.NilError(t, err)
		assert.Equal(t, reply.Refusal.Reason, verdict.ReasonNoEndpoint)
	})
}

// Guards against a decision on a lease that lapsed without a new snapshot of the holdings, as on a node that was paused.
func TestLeaseIsCheckedAtEachDecision(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startSite(t)
		defer s.stop()
		s.hold(time.Now().Add(2 * time.Second))
		c := s.cell()
		time.Sleep(2 * time.Second)
		reply, err := c.Place(t.Context(), request(time.Second))
		assert.NilError(t, err)
		assert.Equal(t, reply.Refusal.Reason, verdict.ReasonQueueTimeout)
		s.hold(time.Now().Add(time.Hour))
		reply, err = c.Place(t.Context(), request(time.Second))
		assert.NilError(t, err)
		assert.Assert(t, reply.Grant != nil)
	})
}

// Guards against requests that get no answer when the cell moves to another owner, and against work for it afterwards.
func TestLostCellRefusesItsRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startSite(t)
		defer s.stop()
		c := s.cell()
		replies := make(chan message.PlaceReply)
		for range 5 {
			go func() {
				reply, _ := c.Place(t.Context(), request(time.Minute))
				replies <- reply
			}()
		}
		<-replies
		<-replies
		s.holdings.Publish(ownership.Holdings{})
		for range 3 {
			assert.Equal(t, (<-replies).Refusal.Reason, verdict.ReasonNoOwner)
		}
		reply, err := c.Place(t.Context(), request(time.Minute))
		assert.NilError(t, err)
		assert.Equal(t, reply.Refusal.Reason, verdict.ReasonNoOwner)
		assert.Equal(t, len(s.dispatcher.Cells().Load()), 0)
	})
}

// fenceRecorder keeps the refused fencing tokens.
type fenceRecorder chan uint64

// StaleFence implements FenceObserver.
func (r fenceRecorder) StaleFence(_ string, fence uint64) { r <- fence }

// Guards against an owner that goes on after an endpoint refused its fencing token.
func TestRefusedFenceStepsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fences := make(fenceRecorder, 2)
		s := startSite(t, WithFenceObserver(fences))
		defer s.stop()
		c := s.cell()
		reply, err := c.Place(t.Context(), request(time.Minute))
		assert.NilError(t, err)
		for range 2 {
			assert.NilError(t, c.Report(t.Context(), message.GrantReport{
				Cell: testCell, Fence: testFence, Number: reply.Grant.Number, Event: message.GrantRefused, StaleFence: true,
			}))
		}
		assert.Equal(t, <-fences, uint64(testFence))
		reply, err = c.Place(t.Context(), request(time.Minute))
		assert.NilError(t, err)
		assert.Equal(t, reply.Refusal.Reason, verdict.ReasonNoOwner)
		assert.Equal(t, len(fences), 0, "the observer is told once")
	})
}

// Guards against work for endpoints whose load reports cannot be read, and against no work once they can.
func TestUnreadableLoadReportsStopNewWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startSite(t)
		defer s.stop()
		c := s.cell()
		reports := s.loader.reports.Load()
		s.loader.reports.Publish(nil)
		time.Sleep(time.Second)
		reply, err := c.Place(t.Context(), request(2*time.Second))
		assert.NilError(t, err)
		assert.Assert(t, reply.Refusal != nil)
		s.loader.reports.Publish(reports)
		reply, err = c.Place(t.Context(), request(2*time.Second))
		assert.NilError(t, err)
		assert.Assert(t, reply.Grant != nil)
	})
}

// Guards against metrics that are missing or do not follow the cell.
func TestCellReportsMetrics(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		scope := tally.NewTestScope("", nil)
		s := startSite(t, WithMetrics(scope))
		defer s.stop()
		c := s.cell()
		for range 2 {
			reply, err := c.Place(t.Context(), request(100*time.Millisecond))
			assert.NilError(t, err)
			started(t, c, reply)
		}
		_, err := c.Place(t.Context(), request(100*time.Millisecond))
		assert.NilError(t, err)
		time.Sleep(2 * idleInterval)
		tags := "+cell=" + testCell
		counters, gauges := scope.Snapshot().Counters(), scope.Snapshot().Gauges()
		assert.Equal(t, counters["cell.grants"+tags].Value(), int64(2))
		assert.Equal(t, counters["cell.refusals"+tags+",reason=queue_timeout"].Value(), int64(1))
		assert.Equal(t, gauges["cell.in_flight"+tags].Value(), 2.0)
		assert.Equal(t, gauges["cell.limit"+tags].Value(), 2.0)
		assert.Equal(t, gauges["cell.endpoints"+tags+",state=cold"].Value(), 2.0)
	})
}

// Guards against gauges and pollers that stand still in a cell that always has a message to handle.
func TestBusyCellReportsMetrics(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		scope := tally.NewTestScope("", nil)
		s := startSite(t, WithMetrics(scope))
		defer s.stop()
		c := s.cell()
		reply, err := c.Place(t.Context(), request(100*time.Millisecond))
		assert.NilError(t, err)
		started(t, c, reply)
		for range 200 {
			assert.NilError(t, c.Report(t.Context(), message.GrantReport{Cell: testCell, Fence: testFence}))
			time.Sleep(tidyInterval / 100)
		}
		assert.Equal(t, scope.Snapshot().Gauges()["cell.in_flight+cell="+testCell].Value(), 1.0)
	})
}
