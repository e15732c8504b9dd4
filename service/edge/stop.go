package edge

import (
	"context"
	"time"

	"go.uber.org/zap"

	"azuredyke.dev/azuredyke/common/httpserver"
	"azuredyke.dev/azuredyke/common/logging"
)

const (
	// rotationTime is how long the platform takes to send no more connections: two questions a second apart.
	rotationTime = 2500 * time.Millisecond
	// stopReserve is the part of the grace that is kept for ending the process.
	stopReserve = 400 * time.Millisecond
	// lastRequests is the time before the end of the grace at which the listener closes even if connections still come. They
	// do where most nodes of a data centre stop at once, since the platform uses all of them then.
	lastRequests = 2 * time.Second
	// stopInterval is how often a stopping node looks whether it has requests.
	stopInterval = 100 * time.Millisecond
)

// stop ends the node without cutting requests that can end within the grace: it is not ready any more, streams that would last
// too long are sent to other nodes at once, and the listener closes when the platform has noticed and no request runs.
func (n *Node) stop(callers *httpserver.Server) {
	began := time.Now()
	by := began.Add(n.settings.Stop.Grace - stopReserve)
	n.log.Info("stopping", zap.Int64("active", n.server.Active()), zap.Duration("grace", n.settings.Stop.Grace))
	n.server.stopBy.Store(&by)
	callers.HTTP.SetKeepAlivesEnabled(false)
	n.awaitLastRequest(began)
	n.log.Info("no more requests", zap.Int64("active", n.server.Active()), zap.Duration("after", time.Since(began)))
	ctx, cancel := context.WithDeadline(context.Background(), by)
	defer cancel()
	if err := callers.HTTP.Shutdown(ctx); err != nil {
		n.log.Warn("requests cut at the end of the grace", zap.Int64("active", n.server.Active()), logging.Cause(err))
	}
}

// awaitLastRequest returns when the platform sends no more connections and no request runs, or when it is time for the last
// ones to end.
func (n *Node) awaitLastRequest(began time.Time) {
	grace := n.settings.Stop.Grace
	time.Sleep(min(rotationTime, grace/2))
	last := began.Add(max(grace/2, grace-lastRequests))
	tick := time.NewTicker(stopInterval)
	defer tick.Stop()
	for n.server.Active() > 0 && time.Now().Before(last) {
		<-tick.C
	}
}
