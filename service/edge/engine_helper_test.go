package edge

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"azuredyke.dev/azuredyke/common/exchange"
	"azuredyke.dev/azuredyke/common/latest"
	"azuredyke.dev/azuredyke/decision/dispatch"
	"azuredyke.dev/azuredyke/service/quarantine"
)

// newEngineCluster returns the state of a cluster with three engines, whose addresses are their ids.
func newEngineCluster() *latest.Value[*clusterState] {
	snapshot := engineSnapshot([]string{"a", "b", "c"})
	for i := range snapshot.Endpoints["s"] {
		snapshot.Endpoints["s"][i].Address = snapshot.Endpoints["s"][i].ID
	}
	return latest.New(movingState(snapshot))
}

// serveAtEngines serves one stream that may run once, with a server that has a sender, a mover and streams. It must be called in a
// synctest bubble, and returns after all tasks of the request have ended.
func serveAtEngines(t *testing.T, cluster *latest.Value[*clusterState], server *Server) *recordedCaller {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	d := newDispatcher(zap.NewNop(), dispatch.Params{RetryWindow: 10 * time.Second, DataCentre: "a", EndpointSpeed: true}, cluster)
	go d.run(ctx)
	server.quarantine = quarantine.NewManager(zap.NewNop(), quarantine.NoPeers{})
	go server.quarantine.Run(ctx)
	server.log, server.cluster, server.placer, server.graceEnd = zap.NewNop(), cluster, placer{messages: d.messages}, newGraceEnd()
	server.metrics, server.liveness = newServerMetrics(tally.NoopScope), alive{}
	caller := &recordedCaller{}
	request := &exchange.Request{ID: "x", Host: "h", URL: mustParse(t, "/a"), Received: time.Now(), PromptTokens: 1000, MaxTokens: 400}
	func() {
		defer func() {
			if p := recover(); p != nil && p != http.ErrAbortHandler {
				panic(p)
			}
		}()
		server.Serve(ctx, request, caller)
	}()
	cancel()
	time.Sleep(time.Minute)
	return caller
}
