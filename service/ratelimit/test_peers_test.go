package ratelimit

import (
	"context"
	"errors"
	"sync/atomic"

	"azuredyke.dev/azuredyke/decision/limit"
)

// testPeers connects the Managers of some nodes. Nodes that are lost don't answer, but stay listed.
type testPeers struct {
	self     string
	managers map[string]*Manager
	lost     map[string]*atomic.Bool
	// asked counts the questions to each node.
	asked map[string]*atomic.Int64
}

func (p *testPeers) Nodes() []Node {
	nodes := []Node{{ID: p.self}}
	for id := range p.asked {
		if id != p.self {
			nodes = append(nodes, Node{ID: id, Address: "address of " + id})
		}
	}
	return nodes
}

func (p *testPeers) Ask(ctx context.Context, address string, q Question) (limit.Grant, error) {
	for id, m := range p.managers {
		if address == "address of "+id {
			p.asked[id].Add(1)
			if p.lost[id].Load() {
				<-ctx.Done()
				return limit.Grant{}, ctx.Err()
			}
			return m.Decide(ctx, p.self, q), nil
		}
	}
	return limit.Grant{}, errors.New("unknown address")
}
