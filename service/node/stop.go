package node

import (
	"context"
	"time"

	"go.uber.org/zap"
)

const (
	// stopReportInterval is how often a stopping node says what it waits for.
	stopReportInterval = 5 * time.Second
	// leaveTimeout bounds the announcement that the node leaves.
	leaveTimeout = 2 * time.Second
	// flushTimeout bounds the delivery of the last reports to the owners of cells.
	flushTimeout = 5 * time.Second
)

// stop ends the node's work in the order that cuts nothing: readiness fails, new requests are refused, cells and claim
// shards are handed over, running requests end, and the node leaves.
func (n *Node) stop(s servers) {
	n.stopping.Store(true)
	n.log.Info("node is stopping", zap.Int64("open_requests", n.gateway.Open()))
	time.Sleep(n.settings.Stop.ReadinessDelay)
	n.gateway.Stop()
	n.release()
	ctx, cancel := n.stopContext()
	defer cancel()
	reported := make(chan struct{})
	waiting, done := context.WithCancel(ctx)
	go func() {
		defer close(reported)
		n.reportStop(waiting)
	}()
	s.callers.Stop(ctx)
	done()
	<-reported
	n.flush()
	n.leave()
	s.operators.Stop(ctx)
	s.peers.Close()
	s.metrics.Stop(ctx)
}

// stopContext ends when running requests may be cut; without a time-out in the settings, never.
func (n *Node) stopContext() (context.Context, context.CancelFunc) {
	if t := n.settings.Stop.Timeout; t > 0 {
		return context.WithTimeout(context.Background(), t)
	}
	return context.WithCancel(context.Background())
}

// release hands cells and claim shards over. While the key-value service is away this fails and the lease lapses instead.
func (n *Node) release() {
	ctx, cancel := context.WithTimeout(context.Background(), n.settings.Dispatch.LeaseTTL)
	defer cancel()
	if err := n.ownership.Release(ctx); err != nil {
		n.log.Warn("cells and claim shards not handed over, their lease lapses instead", zap.Error(err))
	}
}

// reportStop says what a stopping node waits for until ctx ends.
func (n *Node) reportStop(ctx context.Context) {
	ticker := time.NewTicker(stopReportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			n.log.Info("waiting for running requests", zap.Int64("open_requests", n.gateway.Open()))
		}
	}
}

// flush delivers the ends of grants to the owners of their cells.
func (n *Node) flush() {
	ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	if err := n.router.Flush(ctx); err != nil {
		n.log.Warn("some ends of requests not reported to their cells", zap.Error(err))
	}
}

// leave tells the other nodes.
func (n *Node) leave() {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	if err := n.members.Leave(ctx); err != nil {
		n.log.Warn("leave not announced", zap.Error(err))
	}
}
