package edge

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"azuredyke.dev/azuredyke/fake/workers"
	"azuredyke.dev/azuredyke/test/harness"
)

// rolloutLoad sends requests to all nodes until it is stopped: lookups, bookings and streams that may not be repeated.
type rolloutLoad struct {
	site  *harness.EdgeSite
	stop  context.CancelFunc
	tasks sync.WaitGroup
	// lost receives the streams that did not end as they should.
	lost chan string
}

// startRolloutLoad starts a load of 50 lookups, 20 bookings, 25 short streams and 2 long streams per second and node.
func startRolloutLoad(t *testing.T, s *harness.EdgeSite) *rolloutLoad {
	ctx, cancel := context.WithCancel(t.Context())
	l := &rolloutLoad{site: s, stop: cancel, lost: make(chan string, 1000)}
	for _, n := range s.Nodes {
		l.run(ctx, n, http.MethodGet, "lookup", 20*time.Millisecond)
		l.run(ctx, n, http.MethodPost, "booking", 50*time.Millisecond)
		l.run(ctx, n, http.MethodPost, "reply", 40*time.Millisecond)
		l.run(ctx, n, http.MethodPost, "note", 500*time.Millisecond)
	}
	t.Cleanup(l.end)
	return l
}

// run sends requests of one route to one node at an interval.
func (l *rolloutLoad) run(ctx context.Context, n *harness.EdgeNode, method, route string, interval time.Duration) {
	l.tasks.Go(func() {
		tick := time.NewTicker(interval)
		defer tick.Stop()
		for i := 0; ; i++ {
			select {
			case <-ctx.Done():
				return
			case <-tick.C:
				id := fmt.Sprintf("%s-%s-%d", n.Settings.Node.ID, route, i)
				l.tasks.Go(func() { l.send(n, method, route, id) })
			}
		}
	})
}

// send sends a request and reads its answer. A stream that ends early is reported, unless its node has ended.
func (l *rolloutLoad) send(n *harness.EdgeNode, method, route, id string) {
	resp, err := http.DefaultClient.Do(l.site.Request(n, method, "/"+route+"/1", id))
	if err != nil {
		return
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	if route == "note" && resp.StatusCode == http.StatusOK && err != nil {
		select {
		case l.lost <- fmt.Sprint(id, ": ", err):
		default:
		}
	}
}

// end stops the load and waits for the answers.
func (l *rolloutLoad) end() {
	l.stop()
	l.tasks.Wait()
}

// lostStreams returns the streams that were lost so far.
func (l *rolloutLoad) lostStreams() []string {
	var lost []string
	for {
		select {
		case one := <-l.lost:
			lost = append(lost, one)
		default:
			return lost
		}
	}
}

// arrivalsByVersion returns the numbers of requests of a service that reached each version after a moment.
func arrivalsByVersion(t *testing.T, s *harness.EdgeSite, service string, after time.Time) map[string]int {
	counts := map[string]int{}
	for _, a := range s.Fleet.History(t.Context()).Arrivals {
		if a.Service == service && a.At.After(after) {
			counts[a.Version]++
		}
	}
	return counts
}

// startRolloutSite starts a site with three nodes and, for each service, two workers of version v1 and two of version v2.
func startRolloutSite(t *testing.T) *harness.EdgeSite {
	t.Helper()
	s := harness.NewEdgeSite(t, 3, harness.EnableRollouts)
	addVersions(s)
	s.Start()
	return s
}

// rolloutEvents returns the number of events of a stream: the short ones can be repeated, the long ones last 2 s.
func rolloutEvents(path string) int {
	if strings.HasPrefix(path, "/reply/") {
		return 2
	}
	return 100
}

func addVersions(s *harness.EdgeSite) {
	for _, version := range []string{"v1", "v2"} {
		for i := range 2 {
			for _, service := range []string{"desk", "engine"} {
				s.AddWorkerWith(fmt.Sprintf("%s-%s-%d", service, version, i), service == "engine", func(w *workers.Worker) {
					w.Version, w.EventsOf = version, rolloutEvents
				})
			}
		}
	}
}
