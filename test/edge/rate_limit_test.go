package edge

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"azuredyke.dev/azuredyke/fake/workers"
	"azuredyke.dev/azuredyke/test/harness"
)

// Figures of the limit that an endpoint names, and of the users' rule about it.
const (
	namedLimit       = 5
	limitWindow      = 4 * time.Second
	limitAllowance   = 5
	limitContactTime = 4 * time.Second
)

// Guards against nodes that together send an endpoint many times the rate that it has named.
func TestEndpointGetsNoMoreThanItsNamedLimit(t *testing.T) {
	s := harness.NewEdgeSite(t, 3)
	s.AddWorkerWith("desk-1", false, func(w *workers.Worker) { w.RateLimit = fmt.Sprint(namedLimit) })
	s.AddWorker("desk-2", false)
	s.Start()
	for _, n := range s.Nodes {
		s.Eventually("the nodes know each other", func() bool { return strings.Contains(n.Log(), `"others":2`) })
	}
	var callers sync.WaitGroup
	var ended atomic.Bool
	for i, n := range s.Nodes {
		callers.Go(func() {
			for j := 0; !ended.Load(); j++ {
				id := fmt.Sprintf("r-%d-%d", i, j)
				resp, _, err := send(t, s.Request(n, http.MethodGet, "/lookup/"+id, id))
				if err != nil || resp.StatusCode != http.StatusOK {
					t.Errorf("%s: %v %v", id, resp, err)
				}
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
	time.Sleep(limitContactTime + 2*limitWindow)
	ended.Store(true)
	callers.Wait()
	var arrivals []time.Time
	for _, a := range s.Fleet.History(t.Context()).Arrivals {
		if a.Worker == "desk-1" {
			arrivals = append(arrivals, a.At)
		}
	}
	assert.Assert(t, len(arrivals) > 0)
	for from := range arrivals {
		if arrivals[from].Sub(arrivals[0]) < limitContactTime {
			continue
		}
		to := from
		for to < len(arrivals) && arrivals[to].Sub(arrivals[from]) < limitWindow {
			to++
		}
		assert.Assert(t, float64(to-from) <= 1.5*namedLimit*limitWindow.Seconds()+limitAllowance, "%d requests in 4 s", to-from)
	}
}
