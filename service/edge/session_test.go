package edge

import (
	"net/url"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"azuredyke.dev/azuredyke/common/catalog"
	"azuredyke.dev/azuredyke/common/exchange"
	"azuredyke.dev/azuredyke/common/latest"
	"azuredyke.dev/azuredyke/common/verdict"
	"azuredyke.dev/azuredyke/decision/fleet"
)

// Guards against a stopping node that accepts a stream whose end it only estimates and cuts it at the end of the grace period, and
// against one that refuses requests that end in time. A caller's estimate of the length, like the first two, is often far too low.
func TestStoppingNodeAcceptsOnlyRequestsItCanFinish(t *testing.T) {
	const untilCut = 7 * time.Second
	for name, test := range map[string]struct {
		route      catalog.Route
		lengthHint int
		deadline   time.Duration
		accepted   bool
	}{
		"stream of a short estimate":           {catalog.Route{Streaming: true}, 1, 39 * time.Second, false},
		"resumable stream, short estimate":     {catalog.Route{Streaming: true, Resumable: true}, 1, 39 * time.Second, false},
		"stream that ends in time":             {catalog.Route{Streaming: true}, 10_000, 6 * time.Second, true},
		"answer that may not be repeated":      {catalog.Route{}, 0, 8 * time.Second, false},
		"answer that ends in time":             {catalog.Route{}, 0, 6 * time.Second, true},
		"repeatable answer":                    {catalog.Route{Repeatability: catalog.Repeatable}, 0, 39 * time.Second, true},
		"request without a deadline":           {catalog.Route{}, 0, 0, false},
		"repeatable answer without a deadline": {catalog.Route{Repeatability: catalog.Repeatable}, 0, 0, true},
	} {
		t.Run(name, func(t *testing.T) {
			route := test.route
			route.Name, route.Host, route.PathPrefix, route.FirstByteObjective = "r", "h", "/", 1500*time.Millisecond
			route.Shares = []catalog.Share{{Service: "s", Weight: 1}}
			c := &catalog.Configuration{Version: 1, NeedsNoKeys: true, Routes: []catalog.Route{route}}
			c.Index()
			server := &Server{log: zap.NewNop(), cluster: latest.New(&clusterState{Fleet: &fleet.Snapshot{Configuration: c}}), graceEnd: newGraceEnd()}
			admit := func() *verdict.Error {
				r := &exchange.Request{
					ID: "x", Host: "h", URL: mustParse(t, "/a"), PromptTokens: 100, MaxTokens: 2000, LengthHint: test.lengthHint, Received: time.Now(),
				}
				if test.deadline > 0 {
					r.Deadline = r.Received.Add(test.deadline)
				}
				return (&session{server: server, request: r}).admit()
			}
			assert.Assert(t, admit() == nil)
			server.graceEnd.set(time.Now().Add(untilCut))
			refusal := admit()
			assert.Equal(t, refusal == nil, test.accepted)
			if refusal != nil {
				assert.Equal(t, refusal.Reason, verdict.ReasonStopping)
				assert.Equal(t, refusal.Verdict, verdict.NotRun)
				assert.Assert(t, refusal.RetryAfter > 0)
			}
			server.graceEnd.set(time.Now().Add(time.Second))
			assert.Equal(t, admit().Reason, verdict.ReasonStopping)
		})
	}
}

func mustParse(t *testing.T, path string) *url.URL {
	t.Helper()
	u, err := url.Parse(path)
	assert.NilError(t, err)
	return u
}
