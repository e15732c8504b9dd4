package edge

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"azuredyke.dev/azuredyke/common/catalog"
	"azuredyke.dev/azuredyke/common/exchange"
	"azuredyke.dev/azuredyke/common/latest"
	"azuredyke.dev/azuredyke/common/verdict"
	"azuredyke.dev/azuredyke/decision/dispatch"
	"azuredyke.dev/azuredyke/decision/fleet"
	"azuredyke.dev/azuredyke/service/quarantine"
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

// alive implements exchange.Liveness for endpoints that never crash.
type alive struct{}

func (alive) HasEnded(context.Context, string) bool { return false }

// recordedCaller records how a request ended.
type recordedCaller struct {
	refusal *verdict.Error
	body    string
	aborted bool
	// endedAt is the time at which the request had ended.
	endedAt time.Time
}

func (c *recordedCaller) Refuse(err *verdict.Error) { c.refusal = err }

func (c *recordedCaller) WriteAnswer(_ int, _ http.Header, body []byte) error {
	c.body = string(body)
	return nil
}

func (c *recordedCaller) Begin(int, http.Header, int64) error { return nil }

func (c *recordedCaller) Write(part []byte) error {
	c.body += string(part)
	return nil
}

func (c *recordedCaller) Interrupt() {}

func (c *recordedCaller) Abort() {
	c.aborted = true
	panic(http.ErrAbortHandler)
}

// serveRequest serves one request of a caller that reads at once, as serveCaller does.
func serveRequest(t *testing.T, route catalog.Route, sender exchange.Sender, stream exchange.Stream, adjust ...func(*Server)) *recordedCaller {
	t.Helper()
	caller := &recordedCaller{}
	caller.endedAt = serveCaller(t, route, sender, stream, caller, adjust...)
	return caller
}

// serveCaller serves one request on a route of a service with three endpoints, for which no repeats are allowed. It must be
// called in a synctest bubble, and returns the time at which the request ended.
func serveCaller(
	t *testing.T, route catalog.Route, sender exchange.Sender, stream exchange.Stream, caller exchange.Caller, adjust ...func(*Server),
) time.Time {
	t.Helper()
	route.Name, route.Host, route.PathPrefix, route.Shares = "r", "h", "/", []catalog.Share{{Service: "s", Weight: 1}}
	configuration := &catalog.Configuration{
		Version: 1, NeedsNoKeys: true, Services: map[string]*catalog.Service{"s": {Name: "s"}}, Routes: []catalog.Route{route},
	}
	configuration.Index()
	snapshot := &fleet.Snapshot{Configuration: configuration, Endpoints: map[string][]fleet.Endpoint{}}
	for _, id := range []string{"a", "b", "c"} {
		snapshot.Endpoints["s"] = append(snapshot.Endpoints["s"], fleet.Endpoint{Endpoint: catalog.Endpoint{ID: id, Service: "s", Slots: 4}})
	}
	cluster := latest.New(&clusterState{Fleet: snapshot})
	d := newDispatcher(zap.NewNop(), dispatch.Params{RetryWindow: 10 * time.Second}, cluster)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go d.run(ctx)
	manager := quarantine.NewManager(zap.NewNop(), quarantine.NoPeers{})
	go manager.Run(ctx)
	server := &Server{
		log: zap.NewNop(), cluster: cluster, placer: placer{messages: d.messages}, sender: sender,
		newStream: func(io.Reader) exchange.Stream { return stream }, metrics: newServerMetrics(tally.NoopScope),
		quarantine: manager, liveness: alive{}, graceEnd: newGraceEnd(),
	}
	for _, change := range adjust {
		change(server)
	}
	ended := make(chan time.Time, 1)
	go func() {
		defer func() { ended <- time.Now() }()
		defer func() {
			if p := recover(); p != nil && p != http.ErrAbortHandler {
				panic(p)
			}
		}()
		server.Serve(ctx, &exchange.Request{ID: "x", Host: "h", URL: mustParse(t, "/a"), Received: time.Now()}, caller)
	}()
	endedAt := <-ended
	cancel()
	// Readers end with the event for which they wait.
	time.Sleep(time.Minute)
	return endedAt
}
