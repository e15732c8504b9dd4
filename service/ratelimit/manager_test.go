package ratelimit

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"azuredyke.dev/azuredyke/decision/limit"
)

var endpoint = Endpoint{ID: "e", Born: 1, Address: "e:1", Service: "s"}

// startManagers starts the Managers of some nodes.
func startManagers(ctx context.Context, nodes int) map[string]*Manager {
	managers, lost, asked := map[string]*Manager{}, map[string]*atomic.Bool{}, map[string]*atomic.Int64{}
	for i := range nodes {
		id := fmt.Sprint("node-", i)
		lost[id], asked[id] = &atomic.Bool{}, &atomic.Int64{}
		managers[id] = NewManager(zap.NewNop(), &testPeers{self: id, managers: managers, lost: lost, asked: asked})
	}
	for _, m := range managers {
		go m.Run(ctx)
	}
	return managers
}

// granted lets every node that is not lost ask once each 10 ms, and returns the number of granted requests.
func granted(ctx context.Context, managers map[string]*Manager, rate float64, d time.Duration) int {
	count := 0
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		for id, m := range managers {
			if !m.peers.(*testPeers).lost[id].Load() && m.Acquire(ctx, Question{Endpoint: endpoint, Ask: limit.Ask{Rate: rate}}).Granted {
				count++
			}
		}
	}
	return count
}

// Guards against nodes that each use the whole rate of an endpoint.
func TestAllNodesShareOneBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		managers := startManagers(ctx, 20)
		count := granted(ctx, managers, 10, 10*time.Second)
		assert.Assert(t, count > 85 && count <= 105, "%d requests in 10 s at 10 a second", count)
	})
}

// Guards against requests without a grant while the owner of a budget is lost, against a rate that doubles because two nodes grant, and
// against requests that each wait for the lost owner.
func TestLostOwnerIsReplacedByTheStandby(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		managers := startManagers(ctx, 5)
		peers := managers["node-0"].peers.(*testPeers)
		ranked := managers["node-0"].ownersOf(time.Now(), endpoint)
		first, second := ranked[0].ID, ranked[1].ID
		peers.lost[first].Store(true)
		count := granted(ctx, managers, 10, 10*time.Second)
		assert.Assert(t, count > 20 && count <= 35, "%d requests in 10 s at 10 a second", count)
		// Each of the other nodes asks the lost owner again after unreachableTime.
		assert.Assert(t, peers.asked[first].Load() > 0 && peers.asked[first].Load() <= 4*(10+int64(unreachableTime.Seconds()))/int64(unreachableTime.Seconds()),
			"%d questions to the lost owner", peers.asked[first].Load())
		peers.lost[second].Store(true)
		assert.Equal(t, granted(ctx, managers, 10, 5*time.Second), 0)
	})
}

// Guards against budgets of endpoints that are gone and stay in memory.
func TestUnusedBudgetsAreDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := NewManager(zap.NewNop(), &testPeers{self: "a", managers: map[string]*Manager{}})
		now := time.Now()
		decideMessage{question: Question{Endpoint: endpoint}, reply: make(chan limit.Grant, 1)}.apply(now, m)
		m.expire(now.Add(budgetExpiry))
		assert.Equal(t, len(m.budgets), 1)
		m.expire(now.Add(budgetExpiry + 1))
		assert.Equal(t, len(m.budgets), 0)
	})
}
