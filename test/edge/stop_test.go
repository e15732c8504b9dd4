package edge

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"azuredyke.dev/azuredyke/fake/workers"
	"azuredyke.dev/azuredyke/test/harness"
)

// Guards against a stopping node that takes a request which may not be repeated and closes its connection without an answer at the
// end of the grace period: for one that arrives after SIGTERM, and for one that was sent before.
func TestStoppingNodeAnswersEveryBooking(t *testing.T) {
	s := harness.NewEdgeSite(t, 1)
	// The work outlasts the grace period of 8 s.
	s.AddWorkerWith("desk-1", false, func(w *workers.Worker) { w.Delay = 12 * time.Second })
	s.Start()
	n := s.Nodes[0]
	before := make(chan int, 1)
	go func() {
		resp, _, err := send(t, s.Request(n, http.MethodPost, "/booking/1", "before"))
		if !assert.Check(t, err) {
			before <- 0
			return
		}
		before <- resp.StatusCode
	}()
	s.Eventually("the desk works on the booking", func() bool { return len(s.Fleet.Runs(t.Context(), "before")) == 1 })
	n.Terminate()
	s.Eventually("the node stops", func() bool { return !n.Ready() })
	resp, _, err := send(t, s.Request(n, http.MethodPost, "/booking/1", "after"))
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
	assert.Assert(t, resp.Header.Get("Retry-After") != "")
	assert.Equal(t, s.Fleet.Arrivals(t.Context(), "after"), 0)
	assert.Equal(t, <-before, http.StatusBadGateway)
	assert.NilError(t, n.Wait(harness.StopTimeout))
}
