package edge

import (
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"azuredyke.dev/azuredyke/common/catalog"
	"azuredyke.dev/azuredyke/common/exchange"
	"azuredyke.dev/azuredyke/common/latest"
	"azuredyke.dev/azuredyke/decision/dispatch"
	"azuredyke.dev/azuredyke/decision/fleet"
	"azuredyke.dev/azuredyke/service/ratelimit"
)

// limitDispatcher returns a dispatcher with one endpoint, whose announcements are appended to announced.
func limitDispatcher(rank int, announced *[]ratelimit.Limit) (*dispatcher, fleet.Endpoint) {
	e := fleet.Endpoint{Endpoint: catalog.Endpoint{ID: "a", Service: "s", Address: "a:1", Slots: 4}}
	snapshot := &fleet.Snapshot{
		Configuration: &catalog.Configuration{Services: map[string]*catalog.Service{"s": {Name: "s"}}},
		Endpoints:     map[string][]fleet.Endpoint{"s": {e}},
	}
	state := &clusterState{Fleet: snapshot, topology: topology{rank: rank}}
	d := newDispatcher(zap.NewNop(), dispatch.Params{RetryWindow: time.Second}, latest.New(state))
	d.announceRateLimit = func(l ratelimit.Limit) { *announced = append(*announced, l) }
	d.applyState(state)
	return d, e
}

// isLimited reports whether the endpoint is limited at a dispatcher.
func isLimited(t *testing.T, d *dispatcher) bool {
	t.Helper()
	placed, refusal := d.table.Place(time.Now(), dispatch.Request{Service: "s"})
	assert.Equal(t, refusal, dispatch.Refusal(""))
	d.table.Release(time.Now(), placed.Run, dispatch.Cancelled)
	return placed.RateLimited
}

// Guards against nodes that send to a limited endpoint until they have an answer of it themselves, against announcements that go round
// between relays, and against a limit that holds on after an answer without one.
func TestRateLimitIsAnnouncedUntilItEnds(t *testing.T) {
	var announced []ratelimit.Limit
	d, e := limitDispatcher(-1, &announced)
	sentAt := time.Now()
	limited := endpointStatementMessage{endpoint: e, statement: exchange.Statement{RateLimit: 3, HasRateLimit: true}, sentAt: sentAt}
	limited.apply(d)
	limited.apply(d)
	assert.Assert(t, isLimited(t, d))
	assert.DeepEqual(t, announced, []ratelimit.Limit{{Endpoint: ratelimit.EndpointOf(&e.Endpoint), Rate: 3}})

	for rank, forwarded := range map[int]int{-1: 0, 0: 1, 1: 1} {
		var forwardedLimits []ratelimit.Limit
		other, _ := limitDispatcher(rank, &forwardedLimits)
		assert.Assert(t, !isLimited(t, other))
		othersRateLimitMessage{limit: announced[0]}.apply(other)
		othersRateLimitMessage{limit: announced[0]}.apply(other)
		assert.Assert(t, isLimited(t, other))
		assert.Equal(t, len(forwardedLimits), forwarded, "rank %d", rank)
	}

	endpointStatementMessage{endpoint: e, sentAt: sentAt}.apply(d)
	endpointStatementMessage{endpoint: e, statement: exchange.Statement{InvalidRateLimit: true}, sentAt: time.Now().Add(time.Second)}.apply(d)
	endpointStatementMessage{endpoint: e}.apply(d)
	assert.Assert(t, isLimited(t, d))
	endpointStatementMessage{endpoint: e, sentAt: time.Now().Add(time.Second)}.apply(d)
	assert.Assert(t, !isLimited(t, d))
}
