package edge

import (
	"context"
	"time"

	"go.uber.org/zap"

	"azuredyke.dev/azuredyke/common/logging"
)

const (
	// rotationTime is how long the platform takes to send no more connections: two questions a second apart.
	rotationTime = 2500 * time.Millisecond
	// stopReserve is the part of the grace that is kept for ending the process.
	stopReserve = 400 * time.Millisecond
)

// stop ends the node without cutting requests that can end within the grace: it is not ready any more, new streams are sent
// to other nodes at once, and the listener closes when the platform has noticed.
func (n *Node) stop(callers *httpServer) {
	began := time.Now()
	n.log.Info("stopping", zap.Int64("active", n.server.Active()), zap.Duration("grace", n.settings.Stop.Grace))
	n.ready.stopping.Store(true)
	n.server.stopping.Store(true)
	callers.server.SetKeepAlivesEnabled(false)
	time.Sleep(min(rotationTime, n.settings.Stop.Grace/2))
	ctx, cancel := context.WithDeadline(context.Background(), began.Add(n.settings.Stop.Grace-stopReserve))
	defer cancel()
	if err := callers.server.Shutdown(ctx); err != nil {
		n.log.Warn("requests cut at the end of the grace", zap.Int64("active", n.server.Active()), logging.Cause(err))
	}
}
