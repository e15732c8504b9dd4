package edge

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"azuredyke.dev/azuredyke/fake/workers"
	"azuredyke.dev/azuredyke/service/quarantine"
	"azuredyke.dev/azuredyke/test/harness"
)

// startCrashSite starts a site with two nodes and endpoints that the given requests crash.
func startCrashSite(t *testing.T, endpoints int, engine bool, crashes func(*http.Request) bool) *harness.EdgeSite {
	t.Helper()
	return startSiteOf(t, endpoints, engine, func(w *workers.Worker) { w.Crashes, w.Events = crashes, 5 })
}

// startSiteOf starts a site with two nodes and endpoints that change has adjusted.
func startSiteOf(t *testing.T, endpoints int, engine bool, change func(*workers.Worker)) *harness.EdgeSite {
	t.Helper()
	s := harness.NewEdgeSite(t, 2)
	for i := range endpoints {
		s.AddWorkerWith(fmt.Sprintf("endpoint-%d", i+1), engine, change)
	}
	s.Start()
	for _, n := range s.Nodes {
		s.Eventually("the node knows the other one", func() bool { return strings.Contains(n.Log(), `"others":1`) })
	}
	return s
}

// awaitMark waits until all nodes have a mark with the given evidence.
func awaitMark(s *harness.EdgeSite, evidence int) {
	for _, n := range s.Nodes {
		s.Eventually("the node knows of the crash", func() bool { return strings.Contains(n.Log(), fmt.Sprintf(`"evidence":%d,`, evidence)) })
	}
}

// awaitMarks waits until all nodes have a mark with at least the given evidence. A crash can count more than once.
func awaitMarks(s *harness.EdgeSite, evidence int) {
	for _, n := range s.Nodes {
		s.Eventually("the node knows of the crash", func() bool {
			for e := evidence; e <= 3; e++ {
				if strings.Contains(n.Log(), fmt.Sprintf(`"evidence":%d,`, e)) {
					return true
				}
			}
			return false
		})
	}
}

// Guards against a request that its caller sends again and again, at one node and at others, and that crashes an endpoint each time.
func TestRepeatedRequestCrashesAtMostTwoEndpoints(t *testing.T) {
	for name, c := range map[string]struct {
		method, path string
		engine       bool
	}{
		"unrepeatable": {http.MethodPost, "/booking/deadly", false},
		"repeatable":   {http.MethodGet, "/lookup/deadly", false},
		"stream":       {http.MethodPost, "/note/deadly", true},
		"resumable":    {http.MethodPost, "/reply/deadly", true},
	} {
		t.Run(name, func(t *testing.T) {
			s := startCrashSite(t, 5, c.engine, func(r *http.Request) bool { return strings.HasSuffix(r.URL.Path, "/deadly") })
			for i := range 6 {
				id := fmt.Sprintf("deadly-%d", i)
				resp, _, err := send(t, s.Request(s.Nodes[i%2], c.method, c.path, id))
				assert.NilError(t, err)
				if ran := len(s.Fleet.Runs(t.Context(), id)) > 0; ran {
					assert.Equal(t, resp.StatusCode, http.StatusBadGateway)
				} else {
					assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
					assert.Assert(t, resp.Header.Get("Retry-After") != "")
				}
				awaitMark(s, map[bool]int{true: 1, false: 3}[i == 0])
			}
			assert.Equal(t, len(s.Fleet.History(t.Context()).Runs), 2)
			resp, _, err := send(t, s.Request(s.Nodes[1], c.method, c.path+"-not", "sound"))
			assert.NilError(t, err)
			assert.Equal(t, resp.StatusCode, http.StatusOK)
		})
	}
}

// Guards against a request that crashes its engine after the first event: one try that goes on at one engine after the other, and
// further tries at the same node and at others, with and without the id of the last event.
func TestRequestThatCrashesLateReachesAtMostThreeEndpoints(t *testing.T) {
	for name, route := range map[string]string{"copied": "note", "resumable": "reply"} {
		for _, events := range []int{1, 20} {
			t.Run(fmt.Sprintf("%s after event %d", name, events), func(t *testing.T) {
				s := startSiteOf(t, 6, true, func(w *workers.Worker) {
					w.EventsUntilCrash = func(r *http.Request) int {
						if strings.HasSuffix(r.URL.Path, "/deadly") {
							return events
						}
						return 0
					}
				})
				for i := range 6 {
					id := fmt.Sprintf("deadly-%d", i)
					req := s.Request(s.Nodes[i%2], http.MethodPost, "/"+route+"/deadly", id)
					if i > 0 && route == "reply" {
						harness.SetEdgeLastEvent(req, "1")
					}
					resp, _, err := send(t, req)
					if ran := len(s.Fleet.Runs(t.Context(), id)) > 0; ran {
						assert.Assert(t, err != nil || resp.StatusCode == http.StatusBadGateway)
						awaitMarks(s, len(s.Fleet.History(t.Context()).Runs))
						continue
					}
					assert.NilError(t, err)
					assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
					assert.Assert(t, resp.Header.Get("Retry-After") != "")
				}
				runs := len(s.Fleet.History(t.Context()).Runs)
				assert.Assert(t, runs == 2 || runs == 3, "%d runs", runs)
				ids, err := readEvents(t, s.Request(s.Nodes[1], http.MethodPost, "/"+route+"/sound", "sound"), func(int) {})
				assert.NilError(t, err)
				assertComplete(t, ids, 60)
			})
		}
	}
}

// Guards against a sound stream that is dropped as if it had crashed its engines, because two of them failed one after the other.
func TestStreamContinuesAfterTwoCrashes(t *testing.T) {
	const second = 2 * youngestCopiedRun
	s := startSiteOf(t, 4, true, func(w *workers.Worker) { w.Events = 3 * youngestCopiedRun })
	ids, err := readEvents(t, s.Request(s.Nodes[0], http.MethodPost, "/note/sound", "r1"), func(count int) {
		if count == youngestCopiedRun || count == second {
			s.KillWorker(currentWorker(t, s, "r1"))
		}
	})
	assert.NilError(t, err)
	assertComplete(t, ids, 3*youngestCopiedRun)
	assert.Equal(t, len(s.Fleet.Runs(t.Context(), "r1")), 3)
}

// Guards against a part of prompts that crashes one engine after the other in requests that are otherwise all different, and
// against refusing sound requests that share other parts or the caller with them.
func TestPromptPartThatCrashesEnginesIsRefusedAlone(t *testing.T) {
	s := startCrashSite(t, 5, true, func(r *http.Request) bool { return harness.HasEdgePromptPart(r, "bad") })
	request := func(i int, parts ...string) (*http.Response, string) {
		id := fmt.Sprintf("r%d", i)
		req := s.Request(s.Nodes[i%2], http.MethodPost, "/note/"+id, id)
		harness.SetEdgePromptParts(req, append(slices.Clone(parts), id+":100")...)
		resp, _, err := send(t, req)
		assert.NilError(t, err)
		return resp, id
	}
	deadlyRuns := 0
	for i := range 6 {
		resp, id := request(2*i, "common:50", "bad:40")
		if len(s.Fleet.Runs(t.Context(), id)) > 0 {
			deadlyRuns++
			assert.Equal(t, resp.StatusCode, http.StatusBadGateway)
		} else {
			assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
		}
		awaitMark(s, 1)
		for j, parts := range [][]string{{"common:50", "good:40"}, {"common:50"}} {
			resp, _ = request(2*i+100*(j+1)+1, parts...)
			assert.Equal(t, resp.StatusCode, http.StatusOK)
		}
		awaitMark(s, 0)
	}
	assert.Equal(t, deadlyRuns, 2)
}

// Guards against a node that sends a quarantined request because it was restarted, or because it is cut off from the store.
func TestQuarantineReachesNodesThatRestartOrLoseTheStore(t *testing.T) {
	s := startCrashSite(t, 4, false, func(r *http.Request) bool { return strings.HasSuffix(r.URL.Path, "/deadly") })
	first, second := s.Nodes[0], s.Nodes[1]
	second.StoreLink.Cut()
	for i := range 2 {
		resp, _, err := send(t, s.Request(first, http.MethodPost, "/booking/deadly", fmt.Sprintf("crash-%d", i)))
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, http.StatusBadGateway)
	}
	awaitMark(s, 3)
	second.StoreLink.Heal()
	// The restarted node learns the mark from the store or from the other node, whichever comes first.
	applied := func() int {
		return strings.Count(second.Log(), `"msg":"gateway: mark of another node applied"`) +
			strings.Count(second.Log(), `"msg":"gateway: mark of the key-value service applied"`)
	}
	before := applied()
	second.Kill()
	second.Start()
	s.Eventually("the node is ready", second.Ready)
	s.Eventually("the restarted node knows the mark", func() bool { return applied() > before })
	resp, _, err := send(t, s.Request(second, http.MethodPost, "/booking/deadly", "after-restart"))
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, len(s.Fleet.History(t.Context()).Runs), 2)
}

// Guards against a request in quarantine that crashes endpoints again after all nodes were killed at the same moment.
func TestQuarantineOutlivesAllNodes(t *testing.T) {
	s := startCrashSite(t, 6, false, func(r *http.Request) bool { return strings.HasSuffix(r.URL.Path, "/deadly") })
	for i := range 2 {
		resp, _, err := send(t, s.Request(s.Nodes[0], http.MethodPost, "/booking/deadly", fmt.Sprintf("crash-%d", i)))
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, http.StatusBadGateway)
	}
	s.Eventually("the mark is stored", func() bool {
		stored, err := s.KV.Range(t.Context(), quarantine.MarkPrefix)
		return err == nil && len(stored.Entries) == 1
	})
	for round := range 2 {
		for _, n := range s.Nodes {
			n.Kill()
		}
		for _, n := range s.Nodes {
			n.Start()
		}
		for i, n := range s.Nodes {
			// The first answer of each node, before it is asked whether it is ready.
			s.Eventually("the node accepts requests", func() bool {
				resp, _, err := send(t, s.Request(n, http.MethodPost, "/booking/deadly", fmt.Sprintf("again-%d-%d", round, i)))
				if err != nil {
					return false
				}
				assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
				return n.Ready()
			})
		}
	}
	assert.Equal(t, len(s.Fleet.History(t.Context()).Runs), 2)
}
