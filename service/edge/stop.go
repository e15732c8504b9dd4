package edge

import (
	"context"
	"time"

	"go.uber.org/zap"

	"azuredyke.dev/azuredyke/common/httpserver"
	"azuredyke.dev/azuredyke/common/logging"
)

const (
	// readinessNoticeTime is how long the platform may keep sending connections to a node that is not ready: two readiness
	// probes one second apart.
	readinessNoticeTime = 2500 * time.Millisecond
	// stopReserve is the part of the grace period that is reserved for ending the remaining requests and the process.
	stopReserve = 400 * time.Millisecond
	// refusalTime is the part of stopReserve in which the requests without an answer get an error.
	refusalTime = 200 * time.Millisecond
	// listenerCloseReserve is the time before the end of the grace period at which the listener closes even if connections
	// still arrive. They do if most nodes of a data centre stop at once, because the platform then uses all nodes.
	listenerCloseReserve = 2 * time.Second
	// stopInterval is the interval at which a stopping node checks for requests in progress.
	stopInterval = 100 * time.Millisecond
)

// stop shuts the node down without cutting requests that can end within the grace period. The node reports that it is not
// ready, refuses requests that may last too long, and closes the listener once the platform has noticed and no request is
// in progress. Requests that are left at the end get an error if their answer has not begun.
func (n *Node) stop(callers *httpserver.Server) {
	start := time.Now()
	deadline := start.Add(n.settings.Stop.Grace - stopReserve)
	n.log.Info("stopping", zap.Int64("active", n.server.Active()), zap.Duration("grace", n.settings.Stop.Grace))
	n.server.graceEnd.set(deadline)
	// If the queue is full, the requests that are held end with their time or with the grace period.
	n.dispatcher.messages.TrySend(stoppingMessage{})
	callers.HTTP.SetKeepAlivesEnabled(false)
	n.awaitIdle(start)
	n.log.Info("closing the callers' listener", zap.Int64("active", n.server.Active()), zap.Duration("after", time.Since(start)))
	ctx, cancel := context.WithDeadline(context.Background(), deadline.Add(refusalTime))
	defer cancel()
	if err := callers.HTTP.Shutdown(ctx); err != nil {
		n.log.Warn("grace period ended; cutting the remaining requests", zap.Int64("active", n.server.Active()), logging.Cause(err))
	}
}

// awaitIdle waits until the platform has stopped sending connections and no request is in progress, or until
// listenerCloseReserve before the end of the grace period.
func (n *Node) awaitIdle(start time.Time) {
	grace := n.settings.Stop.Grace
	time.Sleep(min(readinessNoticeTime, grace/2))
	closeAt := start.Add(max(grace/2, grace-listenerCloseReserve))
	tick := time.NewTicker(stopInterval)
	defer tick.Stop()
	for n.server.Active() > 0 && time.Now().Before(closeAt) {
		<-tick.C
	}
}
