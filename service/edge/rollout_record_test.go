package edge

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"azuredyke.dev/azuredyke/common/catalog"
	"azuredyke.dev/azuredyke/common/exchange"
	"azuredyke.dev/azuredyke/common/latest"
	"azuredyke.dev/azuredyke/common/verdict"
	"azuredyke.dev/azuredyke/decision/dispatch"
	"azuredyke.dev/azuredyke/decision/fleet"
	decision "azuredyke.dev/azuredyke/decision/rollout"
)

// recordedOutcomes implements rollout.Outcomes. One session uses it.
type recordedOutcomes struct {
	sends, unevaluated              int
	firstEvents, intervals, samples []decision.Sample
}

func (o *recordedOutcomes) RecordSend(string, int64, decision.Group, string) { o.sends++ }

func (o *recordedOutcomes) RecordFirstEvent(_ string, _ int64, s decision.Sample) {
	o.firstEvents = append(o.firstEvents, withoutEndpoint(s))
}

func (o *recordedOutcomes) RecordInterval(_ string, _ int64, s decision.Sample) {
	o.intervals = append(o.intervals, withoutEndpoint(s))
}

func (o *recordedOutcomes) RecordUnevaluated(string, int64, decision.Group, string) { o.unevaluated++ }

func (o *recordedOutcomes) RecordSample(_ string, _ int64, s decision.Sample) {
	o.samples = append(o.samples, withoutEndpoint(s))
}

// withoutEndpoint returns a sample without its endpoint, which must be one of those of the test.
func withoutEndpoint(s decision.Sample) decision.Sample {
	if slices.Contains([]string{"a", "b", "c"}, s.Endpoint) {
		s.Endpoint = ""
	}
	return s
}

// statusSender answers each request with a status after a delay.
type statusSender struct {
	status int
}

func (s *statusSender) Send(_ context.Context, _ *exchange.Request, _ exchange.Attempt) (*exchange.Answer, error) {
	time.Sleep(30 * time.Millisecond)
	return &exchange.Answer{Status: s.status, Header: http.Header{}, Body: io.NopCloser(strings.NewReader("x")), Length: 1}, nil
}

// brokenStream breaks after its events.
type brokenStream struct{ slowStream }

func (s *brokenStream) Next() (exchange.Event, error) {
	e, err := s.slowStream.Next()
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return e, err
}

// Guards against outcomes that count for the wrong version or that say nothing about it: refusals, and requests that their callers
// gave up. Guards against failures that are not counted, and against wrong times.
func TestOutcomesUnderAnOrder(t *testing.T) {
	const route = "r"
	ok := decision.Sample{Group: decision.OldGroup, Route: route, FirstEvent: 30 * time.Millisecond}
	failed := decision.Sample{Group: decision.OldGroup, Route: route, Failed: true}
	stream := catalog.Route{Streaming: true, FirstByteObjective: time.Second, MaxAttempts: 1}
	started := decision.Sample{Group: decision.OldGroup, Route: route, Started: true}
	broken := decision.Sample{Group: decision.OldGroup, Route: route, Started: true, Failed: true}
	first := func(d time.Duration) []decision.Sample {
		return []decision.Sample{{Group: decision.OldGroup, Route: route, Started: true, FirstEvent: d}}
	}
	interval := func(d time.Duration) []decision.Sample {
		return []decision.Sample{{Group: decision.OldGroup, Route: route, Started: true, Interval: d}}
	}
	short := catalog.Route{Streaming: true, Timeout: 100 * time.Millisecond, FirstByteObjective: time.Second, MaxAttempts: 1}
	for name, c := range map[string]struct {
		route  catalog.Route
		sender exchange.Sender
		stream exchange.Stream
		want   recordedOutcomes
		// out is set if the endpoints' data centre is taken out.
		out bool
	}{
		"whole answer":         {sender: &statusSender{status: 200}, want: recordedOutcomes{sends: 1, samples: []decision.Sample{ok}}},
		"error of the caller":  {sender: &statusSender{status: 404}, want: recordedOutcomes{sends: 1, samples: []decision.Sample{ok}}},
		"error of the version": {sender: &statusSender{status: 500}, want: recordedOutcomes{sends: 1, samples: []decision.Sample{failed}}},
		"broken": {
			sender: &failingSender{failures: 1, failure: verdict.New(verdict.MayHaveRun, verdict.ReasonIncomplete, "broken")},
			want:   recordedOutcomes{sends: 1, samples: []decision.Sample{failed}},
		},
		"refused": {
			sender: &failingSender{failures: 4, failure: verdict.New(verdict.NotRun, verdict.ReasonBusy, "busy")},
			want:   recordedOutcomes{sends: 1, unevaluated: 1},
		},
		"not reached": {
			sender: &failingSender{failures: 4, failure: verdict.New(verdict.NotRun, verdict.ReasonUnreachable, "no connection")},
			want:   recordedOutcomes{sends: 3, unevaluated: 3},
		},
		"short stream": {
			route: stream, sender: &failingSender{}, stream: &slowStream{raw: "x", pause: 20 * time.Millisecond, events: 5},
			want: recordedOutcomes{sends: 1, firstEvents: first(20 * time.Millisecond), samples: interval(20 * time.Millisecond)},
		},
		"long stream, measured before its end": {
			route: stream, sender: &failingSender{}, stream: &slowStream{raw: "x", pause: 50 * time.Millisecond, events: 100},
			want: recordedOutcomes{
				sends: 1, firstEvents: first(50 * time.Millisecond), intervals: interval(50 * time.Millisecond), samples: []decision.Sample{started},
			},
		},
		"cut stream": {
			route: stream, sender: &failingSender{}, stream: &brokenStream{slowStream{raw: "x", pause: 50 * time.Millisecond, events: 30}},
			want: recordedOutcomes{
				sends: 1, firstEvents: first(50 * time.Millisecond), intervals: interval(50 * time.Millisecond), samples: []decision.Sample{broken},
			},
		},
		"no answer by the deadline": {
			route: short, sender: &failingSender{}, stream: &slowStream{raw: "x", pause: time.Second, events: 5},
			want: recordedOutcomes{sends: 1, samples: []decision.Sample{failed}},
		},
		"deadline after the first event": {
			route: short, sender: &failingSender{}, stream: &slowStream{raw: "x", pause: 60 * time.Millisecond, events: 5},
			want: recordedOutcomes{sends: 1, firstEvents: first(60 * time.Millisecond)},
		},
		"data centre out": {
			route: stream, sender: &failingSender{}, stream: &slowStream{raw: "x", pause: 20 * time.Millisecond, events: 5}, out: true,
			want: recordedOutcomes{sends: 1, firstEvents: first(20 * time.Millisecond)},
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				outcomes := &recordedOutcomes{}
				serveRequest(t, c.route, c.sender, c.stream, func(s *Server) {
					s.rollouts = outcomes
					state := *s.cluster.Load()
					with := *state.Fleet
					with.Orders = map[string]decision.Order{"s": {Service: "s", Target: "v2", Duration: time.Minute, Revision: 3}}
					state.Fleet = &with
					s.cluster.Publish(&state)
					synctest.Wait()
					if c.out {
						time.AfterFunc(50*time.Millisecond, func() {
							out, changed := *state.Fleet, state
							out.Out = map[string]bool{"": true}
							changed.Fleet = &out
							s.cluster.Publish(&changed)
						})
					}
				})
				assert.Equal(t, [2]int{outcomes.sends, outcomes.unevaluated}, [2]int{c.want.sends, c.want.unevaluated})
				assert.DeepEqual(t, outcomes.firstEvents, c.want.firstEvents)
				assert.DeepEqual(t, outcomes.intervals, c.want.intervals)
				assert.DeepEqual(t, outcomes.samples, c.want.samples)
			})
		})
	}
}

// Guards against counts of requests of a service without an order.
func TestNoOutcomesWithoutOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		outcomes := &recordedOutcomes{}
		serveRequest(t, catalog.Route{}, &statusSender{status: 500}, nil, func(s *Server) { s.rollouts = outcomes })
		assert.Equal(t, outcomes.sends+len(outcomes.samples)+outcomes.unevaluated, 0)
	})
}

// Guards against runs that stay at endpoints that a roll-out no longer allows: old ones while the target is promoted, those of the
// target after it was reverted or stopped.
func TestRunsLeaveEndpointsThatTheRolloutRulesOut(t *testing.T) {
	order := decision.Order{Service: "s", Target: "v2", Duration: time.Minute, Revision: 3}
	snapshot := func(p decision.Phase) *fleet.Snapshot {
		s := engineSnapshot([]string{"a", "b", "c", "d"})
		for i := range s.Endpoints["s"] {
			s.Endpoints["s"][i].Version = []string{"v1", "v1", "v2", "v2"}[i]
		}
		s.Orders = map[string]decision.Order{"s": order}
		s.Plans = map[string]fleet.StoredPlan{"s": {Plan: &decision.Plan{Order: order, Phase: p, OldVersions: []string{"v1"}}}}
		return s
	}
	for phase, want := range map[decision.Phase][2]int{
		decision.Observing: {0, 0}, decision.Promoting: {2, 0}, decision.Completed: {2, 0}, decision.Reverted: {0, 2},
	} {
		d := newTestDispatcher()
		d.applyState(&clusterState{Fleet: snapshot(decision.Observing)})
		_, old := placeAt(t, d, requestAt("engine-a", decision.OldGroup))
		_, target := placeAt(t, d, requestAt("engine-c", decision.TargetGroup))
		d.applyState(&clusterState{Fleet: snapshot(phase)})
		assert.Equal(t, [2]int{len(old), len(target)}, want, phase.String())
	}
	d := newTestDispatcher()
	d.applyState(&clusterState{Fleet: snapshot(decision.Promoting)})
	_, target := placeAt(t, d, requestAt("engine-c", decision.TargetGroup))
	rolloutStopMessage{service: "s", revision: 3, stopped: true}.apply(d)
	assert.Equal(t, len(target), 2)
}

func newTestDispatcher() *dispatcher {
	return newDispatcher(zap.NewNop(), dispatch.Params{RetryWindow: time.Second}, latest.New(&clusterState{}))
}

// requestAt returns a request that must continue at an endpoint, with a backup.
func requestAt(endpoint string, g decision.Group) dispatch.Request {
	return dispatch.Request{RequiredEndpoint: endpoint, Resumed: true, ForceRepeat: true, Backup: true, Group: g}
}
