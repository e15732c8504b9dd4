package node

import (
	"context"
	"time"

	"go.uber.org/zap"
)

const (
	// stopReportInterval is the interval at which a stopping node logs the number of running requests.
	stopReportInterval = 5 * time.Second
	// leaveTimeout bounds the time to announce to the other nodes that the node leaves.
	leaveTimeout = 2 * time.Second
	// flushTimeout bounds the time to deliver the last grant reports to the owners of the cells.
	flushTimeout = 5 * time.Second
)

// stop stops the node in an order that interrupts no request: the readiness check fails, new requests are refused, cells and
// claim shards are handed over, running requests end, and the node leaves.
func (n *Node) stop(s servers) {
	n.stopping.Store(true)
	n.log.Info("node is stopping", zap.Int64("open_requests", n.gateway.OpenRequests()))
	time.Sleep(n.settings.Stop.ReadinessDelay)
	n.gateway.RefuseNewRequests()
	n.release()
	ctx, cancel := n.stopContext()
	defer cancel()
	reported := make(chan struct{})
	reportCtx, stopReport := context.WithCancel(ctx)
	go func() {
		defer close(reported)
		n.reportStop(reportCtx)
	}()
	s.callers.Stop(ctx)
	stopReport()
	<-reported
	n.flush()
	n.leave()
	s.operators.Stop(ctx)
	s.peers.Close()
	s.metrics.Stop(ctx)
}

// stopContext returns a context that ends after the stop timeout of the settings; running requests are then aborted. Without
// a timeout the context does not end by itself.
func (n *Node) stopContext() (context.Context, context.CancelFunc) {
	if t := n.settings.Stop.Timeout; t > 0 {
		return context.WithTimeout(context.Background(), t)
	}
	return context.WithCancel(context.Background())
}

// release hands over cells and claim shards. If the key-value service is unavailable, release logs a warning and the
// ownership ends when the lease expires.
func (n *Node) release() {
	ctx, cancel := context.WithTimeout(context.Background(), n.settings.Dispatch.LeaseTTL)
	defer cancel()
	if err := n.ownership.Release(ctx); err != nil {
		n.log.Warn("cells and claim shards not handed over, their lease lapses instead", zap.Error(err))
	}
}

// reportStop logs the number of running requests at intervals until ctx ends.
func (n *Node) reportStop(ctx context.Context) {
	ticker := time.NewTicker(stopReportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			n.log.Info("waiting for running requests", zap.Int64("open_requests", n.gateway.OpenRequests()))
		}
	}
}

// flush delivers the last grant reports to the owners of the cells.
func (n *Node) flush() {
	ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	if err := n.router.Flush(ctx); err != nil {
		n.log.Warn("some grant reports were not delivered to the owners of their cells", zap.Error(err))
	}
}

// leave announces to the other nodes that this node leaves.
func (n *Node) leave() {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	if err := n.members.Leave(ctx); err != nil {
		n.log.Warn("could not announce to the other nodes that this node leaves", zap.Error(err))
	}
}
