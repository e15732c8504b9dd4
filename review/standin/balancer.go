package main

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// probeInterval is the time between two questions to a node's readiness address, and maxMisses the number of misses after which
	// the node gets no new connections.
	probeInterval = time.Second
	maxMisses     = 2
)

// balancer chooses the node of each new connection as the platform does for the nodes of one zone. It is safe for concurrent use.
type balancer struct {
	site *site
	mu   sync.Mutex
	// misses counts the misses in a row of each node.
	misses []int
}

func newBalancer(s *site) *balancer {
	b := &balancer{site: s, misses: make([]int, len(s.nodes))}
	for i := range s.nodes {
		s.tasks.Go(func() { b.probe(i) })
	}
	return b
}

// probe asks one node until the case ends.
func (b *balancer) probe(i int) {
	n := b.site.nodes[i]
	for sleep(b.site.ctx, probeInterval) {
		ready := n.ready()
		b.mu.Lock()
		before := b.misses[i]
		b.misses[i]++
		if ready {
			b.misses[i] = 0
		}
		after := b.misses[i]
		b.mu.Unlock()
		if before < maxMisses && after == maxMisses {
			b.site.log.add("%s is out of rotation", n.name)
		}
		if before >= maxMisses && after == 0 {
			b.site.log.add("%s is in rotation", n.name)
		}
	}
}

// inRotation reports whether a node gets new connections by its own readiness.
func (b *balancer) inRotation(i int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.misses[i] < maxMisses
}

// choose returns the node of a new connection. If fewer than half of the nodes are in rotation, it chooses among all of them. Two
// attempts of one request go to different nodes where there are several.
func (b *balancer) choose(random *rand.Rand, not *node) *node {
	var usable []*node
	for i, n := range b.site.nodes {
		if b.inRotation(i) {
			usable = append(usable, n)
		}
	}
	if 2*len(usable) < len(b.site.nodes) {
		usable = b.site.nodes
	}
	for {
		if n := usable[random.IntN(len(usable))]; n != not || len(usable) == 1 {
			return n
		}
	}
}
