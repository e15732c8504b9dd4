package ratelimit

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
)

// BenchmarkOwners measures the choice of the owners among the nodes of the largest fleet that is designed for.
func BenchmarkOwners(b *testing.B) {
	const nodes = 1500
	asked := map[string]*atomic.Int64{}
	for i := range nodes {
		asked[fmt.Sprint("edge-andino-a-", i)] = &atomic.Int64{}
	}
	peers := fixedNodes((&testPeers{self: "edge-andino-a-0", asked: asked}).Nodes())
	m := NewManager(zap.NewNop(), peers)
	for b.Loop() {
		m.ownersOf(time.Now(), endpoint)
	}
}
