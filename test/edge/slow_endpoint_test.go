package edge

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"azuredyke.dev/azuredyke/fake/tcpserver"
	"azuredyke.dev/azuredyke/fake/workers"
	"azuredyke.dev/azuredyke/test/harness"
)

// largestBody is just below the limit of a body in the configuration.
const largestBody = 65_000

// sendLarge sends a POST request with the largest body and returns the status.
func sendLarge(t *testing.T, s *harness.EdgeSite, path, id string) int {
	t.Helper()
	req := s.Request(s.Nodes[0], http.MethodPost, path, id)
	req.Body, req.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("x", largestBody))), largestBody
	resp, _, err := send(t, req)
	if !assert.Check(t, err) {
		return 0
	}
	return resp.StatusCode
}

// Guards against requests that hang at an endpoint that accepts connections but does not read, against the statement that they have
// not run, and against a second run of one that may not be repeated.
func TestEndpointThatDoesNotReadCostsLittle(t *testing.T) {
	for route, unread := range map[string]int{"lookup": http.StatusOK, "booking": http.StatusBadGateway} {
		t.Run(route, func(t *testing.T) {
			s := harness.NewEdgeSite(t, 1)
			// With a limited memory, the worker reads the body before it answers.
			s.AddWorkerWith("desk-1", false, func(w *workers.Worker) { w.Memory = 1 << 30 })
			address := tcpserver.StartUnread(t)
			s.PutWorkerEntry(&workers.Worker{ID: "unread", Address: address}, "ready")
			s.Start()
			const requests = 12
			statuses := make([]int, requests)
			var sent sync.WaitGroup
			for i := range requests {
				sent.Go(func() { statuses[i] = sendLarge(t, s, "/"+route+"/1", fmt.Sprint("r", i)) })
			}
			sent.Wait()
			failed := 0
			for i, status := range statuses {
				id := fmt.Sprint("r", i)
				attempts, arrivals := strings.Count(s.Nodes[0].Log(), `attempt failed","request":"`+id+`"`), s.Fleet.Arrivals(t.Context(), id)
				failed += attempts
				if arrivals == 0 {
					assert.Equal(t, status, unread)
				} else {
					assert.Equal(t, status, http.StatusOK)
				}
				if route == "booking" {
					assert.Equal(t, attempts+arrivals, 1, id)
				}
			}
			assert.Assert(t, failed > 0, "no request was sent to the endpoint")
		})
	}
}

// Guards against an endpoint that crashes because it holds the bodies of more requests than its slots and as many that wait there.
func TestBodiesAtOneEndpointAreBoundedByItsSlots(t *testing.T) {
	const slots, waitingPerSlot, requests = 8, 1, 120
	const memory = slots * (1 + waitingPerSlot) * largestBody
	s := harness.NewEdgeSite(t, 1)
	s.AddWorkerWith("desk-1", false, func(w *workers.Worker) { w.Delay, w.Memory = 100*time.Millisecond, memory })
	s.Start()
	answered := atomic.Int64{}
	var sent sync.WaitGroup
	for i := range requests {
		sent.Go(func() {
			if sendLarge(t, s, "/booking/1", fmt.Sprint("r", i)) == http.StatusOK {
				answered.Add(1)
			}
		})
	}
	sent.Wait()
	most := s.Fleet.MostHeld(t.Context(), "desk-1")
	t.Logf("%d of %d requests answered, at most %d bytes of bodies held", answered.Load(), requests, most)
	assert.Assert(t, answered.Load() >= slots*(1+waitingPerSlot))
	assert.Assert(t, most > slots*largestBody && most <= memory, "%d", most)
}
