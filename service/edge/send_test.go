package edge

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"azuredyke.dev/azuredyke/common/catalog"
	"azuredyke.dev/azuredyke/common/exchange"
	"azuredyke.dev/azuredyke/common/latest"

	"azuredyke.dev/azuredyke/common/verdict"
	"azuredyke.dev/azuredyke/decision/dispatch"
	"azuredyke.dev/azuredyke/decision/fleet"
)

// failingSender fails the first attempts with one verdict and answers the others.
type failingSender struct {
	failures int
	failure  *verdict.Error
	sent     int
}

func (s *failingSender) Send(_ context.Context, _ *exchange.Request, _ exchange.Attempt) (*exchange.Answer, error) {
	s.sent++
	if s.sent <= s.failures {
		return nil, s.failure
	}
	return &exchange.Answer{Status: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(strings.NewReader("done")), Length: 4}, nil
}

// recordedCaller records how a request ended.
type recordedCaller struct {
	refusal *verdict.Error
	body    string
}

func (c *recordedCaller) Refuse(err *verdict.Error) { c.refusal = err }

func (c *recordedCaller) WriteAnswer(_ int, _ http.Header, body []byte) error {
	c.body = string(body)
	return nil
}
func (c *recordedCaller) Begin(int, http.Header, int64) error { return errors.ErrUnsupported }
func (c *recordedCaller) Write([]byte) error                  { return errors.ErrUnsupported }
func (c *recordedCaller) Abort()                              {}
func (c *recordedCaller) Disconnected() <-chan struct{}       { return nil }

// serveWithoutRetryBudget serves one request of a service with three endpoints, for which no repeats are allowed.
func serveWithoutRetryBudget(t *testing.T, sender *failingSender) *recordedCaller {
	t.Helper()
	caller := &recordedCaller{}
	synctest.Test(t, func(t *testing.T) {
		configuration := &catalog.Configuration{Version: 1, Services: map[string]*catalog.Service{"s": {Name: "s"}}, Routes: []catalog.Route{{
			Name: "r", Host: "h", PathPrefix: "/", Timeout: time.Minute, FirstByteObjective: time.Second, MaxAttempts: 1,
			Shares: []catalog.Share{{Service: "s", Weight: 1}},
		}}}
		configuration.Index()
		snapshot := &fleet.Snapshot{Configuration: configuration, Endpoints: map[string][]fleet.Endpoint{}}
		for _, id := range []string{"a", "b", "c"} {
			snapshot.Endpoints["s"] = append(snapshot.Endpoints["s"], fleet.Endpoint{Endpoint: catalog.Endpoint{ID: id, Service: "s", Slots: 4}})
		}
		cluster := latest.New(&clusterState{Fleet: snapshot})
		d := newDispatcher(zap.NewNop(), dispatch.Params{RetryWindow: 10 * time.Second}, cluster)
		ctx, cancel := context.WithCancel(t.Context())
		go d.run(ctx)
		server := &Server{
			log: zap.NewNop(), cluster: cluster, placer: placer{messages: d.messages}, sender: sender,
			metrics: newServerMetrics(tally.NoopScope),
		}
		server.Serve(ctx, &exchange.Request{ID: "x", Host: "h", URL: mustParse(t, "/a"), Received: time.Now()}, caller)
		cancel()
		synctest.Wait()
	})
	return caller
}

// Guards against requests that are refused because refused connections to crashed endpoints have spent the retry budget, which
// bounds arrivals.
func TestRefusedConnectionsSpareTheRetryBudget(t *testing.T) {
	sender := &failingSender{failures: 2, failure: verdict.New(verdict.NotRun, verdict.ReasonUnreachable, "connection refused")}
	caller := serveWithoutRetryBudget(t, sender)
	assert.Equal(t, caller.body, "done")
	assert.Equal(t, sender.sent, 3)
}

// Guards against repeats without a budget after an endpoint has received the request and refused it.
func TestRefusalsOfEndpointsSpendTheRetryBudget(t *testing.T) {
	sender := &failingSender{failures: 1, failure: verdict.New(verdict.NotRun, verdict.ReasonBusy, "full")}
	caller := serveWithoutRetryBudget(t, sender)
	assert.Equal(t, sender.sent, 1)
	assert.Equal(t, caller.refusal.Verdict, verdict.NotRun)
}
