package soak

import (
	"context"
	"sync/atomic"
	"time"

	"azuredyke.dev/azuredyke/test/harness"
)

// balancerInterval is how often nodes are asked whether they are ready.
const balancerInterval = 250 * time.Millisecond

// balancer is the task that knows which nodes take new connections.
type balancer struct {
	nodes []*harness.EdgeNode
	ready *atomic.Pointer[[]int]
}

// run asks until ctx ends.
func (b *balancer) run(ctx context.Context) {
	tick := time.NewTicker(balancerInterval)
	defer tick.Stop()
	for {
		ready := []int{}
		for i, n := range b.nodes {
			if n.Ready() {
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
