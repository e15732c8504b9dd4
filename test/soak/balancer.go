package soak

import (
	"context"
	"sync/atomic"
	"time"

	"azuredyke.dev/azuredyke/test/harness"
)

// readinessInterval is the time between two readiness checks of the nodes.
const readinessInterval = 250 * time.Millisecond

// balancer is the task that publishes the indices of the nodes that get requests: the ready ones, or all if fewer than half are
// ready, as the users' platform chooses them.
type balancer struct {
	nodes []*harness.EdgeNode
	ready *atomic.Pointer[[]int]
}

// run checks the nodes until ctx is done.
func (b *balancer) run(ctx context.Context) {
	tick := time.NewTicker(readinessInterval)
	defer tick.Stop()
	for {
		ready := []int{}
		for i, n := range b.nodes {
			if n.Ready() {
				ready = append(ready, i)
			}
		}
		if 2*len(ready) < len(b.nodes) {
			ready = ready[:0]
			for i := range b.nodes {
				ready = append(ready, i)
			}
		}
		b.ready.Store(&ready)
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}
