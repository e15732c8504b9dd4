package ownership

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"azuredyke.dev/azuredyke/backing/memory"
	"azuredyke.dev/azuredyke/common/latest"
	"azuredyke.dev/azuredyke/decision/config"
	"azuredyke.dev/azuredyke/decision/ownership"
	"azuredyke.dev/azuredyke/fake/faultykv"
)

// testNode is one node of a testCluster.
type testNode struct {
	id      string
	kv      *faultykv.KV
	manager *Manager
	config  *latest.Value[*config.Snapshot]
	cancel  context.CancelFunc
}

// testCluster is a group of nodes that share a key-value service within a synctest bubble.
type testCluster struct {
	kv      *memory.KV
	members *latest.Value[[]string]
	nodes   []*testNode
	tasks   sync.WaitGroup
	// owners maps each pair of resource and fence to the node that held it.
	owners map[string]string
}

// checkInterval is the interval between two checks of the holdings.
const checkInterval = 50 * time.Millisecond

func newCluster(t *testing.T, nodes int, drained func(ctx context.Context, resource string) error) *testCluster {
	s := &testCluster{kv: memory.NewKV(), members: latest.New([]string(nil)), owners: map[string]string{}}
	ctx, cancel := context.WithCancel(context.Background())
	s.tasks.Go(func() { s.kv.Run(ctx) })
	t.Cleanup(func() {
		for _, n := range s.nodes {
			n.cancel()
		}
		// Delayed responses must arrive before the tasks can end.
		time.Sleep(faultykv.PauseDuration)
		cancel()
		s.tasks.Wait()
	})
	for range nodes {
		s.add(drained)
	}
	return s
}

func (s *testCluster) add(drained func(ctx context.Context, resource string) error) *testNode {
	n := &testNode{
		id: fmt.Sprintf("node-%d", len(s.nodes)), kv: &faultykv.KV{KV: s.kv}, config: latest.New(config.NewSnapshot(0, nil)),
	}
	n.manager = NewManager(zap.NewNop(), n.kv, Options{
		NodeID: n.id, LeaseTTL: 6 * time.Second, RenewInterval: 2 * time.Second, StartWithin: time.Second,
		CallTimeout: 2 * time.Second, Members: s.members, WaitDrained: drained,
	}, n.config)
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	s.nodes = append(s.nodes, n)
	s.tasks.Go(func() { n.manager.Run(ctx) })
	s.members.Publish(append([]string{n.id}, s.members.Load()...))
	return n
}

// checkFor checks the holdings every checkInterval for a duration and returns the first violation.
func (s *testCluster) checkFor(d time.Duration) error {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(checkInterval) {
		if err := s.check(); err != nil {
			return err
		}
	}
	return nil
}

// check returns an error if two nodes are confirmed owners of a resource or have held it with the same fence.
func (s *testCluster) check() error {
	// The holdings of all nodes must be read at the same instant, since a hand-over takes no time in the bubble.
	synctest.Wait()
	confirmed := map[string]string{}
	for _, n := range s.nodes {
		h := n.manager.Current().Load()
		for resource, hold := range h.ByResource {
			key := fmt.Sprintf("%s fence %d", resource, hold.Fence)
			if other, ok := s.owners[key]; ok && other != n.id {
				return fmt.Errorf("%s: held by %s and %s", key, other, n.id)
			}
			s.owners[key] = n.id
			if !h.Confirmed(time.Now()) {
				continue
			}
			if other, ok := confirmed[resource]; ok {
				return fmt.Errorf("%s: %s and %s are both confirmed", resource, other, n.id)
			}
			confirmed[resource] = n.id
		}
	}
	return nil
}

// confirmed returns the number of resources that have a confirmed owner.
func (s *testCluster) confirmed() int {
	total := 0
	for _, n := range s.nodes {
		total += n.confirmed()
	}
	return total
}

// confirmed returns the number of resources of which the node is the confirmed owner.
func (n *testNode) confirmed() int {
	if h := n.manager.Current().Load(); h.Confirmed(time.Now()) {
		return len(h.ByResource)
	}
	return 0
}

// runInBubble runs f in a synctest bubble and returns its error, for use within rapid.
func runInBubble(t *testing.T, f func(t *testing.T) error) (err error) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) { err = f(t) })
	return err
}

// settleTime is long enough for every lease to expire and every retry to run.
const settleTime = 30 * time.Second

// requiredResources is the number of resources that are required with an empty configuration.
const requiredResources = ownership.ClaimShards
