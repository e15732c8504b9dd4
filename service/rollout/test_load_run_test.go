package rollout

import (
	"time"

	"azuredyke.dev/azuredyke/decision/dispatch"
	"azuredyke.dev/azuredyke/decision/rollout"
)

// testLoadRun is one run of a testLoad.
type testLoadRun struct {
	placed   dispatch.Placement
	isStream bool
	ended    bool
	// affected is set if the fault of the version affects the run, continued if the run continues one at another endpoint.
	affected, continued, started, measured bool
}

// sample returns the outcome without times.
func (r *testLoadRun) sample() rollout.Sample {
	s := rollout.Sample{Group: r.placed.Group(), Route: "plain", Endpoint: r.placed.Endpoint.ID, Started: r.started}
	if r.isStream {
		s.Route = "stream"
	}
	return s
}

// endsAfter is the time that a stream still takes after its first event.
func (r *testLoadRun) endsAfter(interval time.Duration) time.Duration { return 60 * interval }
