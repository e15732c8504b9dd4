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

// testNode is one node of a testSite.
type testNode struct {
	id     string
	kv     *faultykv.KV
	keeper *Keeper
	config *latest.Value[*config.Snapshot]
	cancel context.CancelFunc
}

// testSite is several nodes that share a key-value service, within a synctest bubble.
type testSite struct {
	kv      *memory.KV
	members *latest.Value[[]string]
	nodes   []*testNode
	tasks   sync.WaitGroup
	// owners maps each resource and fence to the node that was seen with it.
	owners map[string]string
}

// tick is the interval at which the tests look at the holdings.
const tick = 50 * time.Millisecond

func newSite(t *testing.T, nodes int, drained func(ctx context.Context, resource string) error) *testSite {
	s := &testSite{kv: memory.NewKV(), members: latest.New([]string(nil)), owners: map[string]string{}}
	ctx, cancel := context.WithCancel(context.Background())
	s.tasks.Go(func() { s.kv.Run(ctx) })
	t.Cleanup(func() {
		for _, n := range s.nodes {
			n.cancel()
		}
		// Answers that are held back must arrive before the tasks can end.
		time.Sleep(faultykv.PauseFor)
		cancel()
		s.tasks.Wait()
	})
	for range nodes {
		s.add(drained)
	}
	return s
}

func (s *testSite) add(drained func(ctx context.Context, resource string) error) *testNode {
	n := &testNode{
		id: fmt.Sprintf("node-%d", len(s.nodes)), kv: &faultykv.KV{KV: s.kv}, config: latest.New(config.NewSnapshot(0, nil)),
	}
	n.keeper = NewKeeper(zap.NewNop(), n.kv, Options{
		NodeID: n.id, LeaseTTL: 6 * time.Second, RenewInterval: 2 * time.Second, StartWithin: time.Second,
		CallTimeout: 2 * time.Second, Members: s.members, Drained: drained,
	}, n.config)
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	s.nodes = append(s.nodes, n)
	s.tasks.Go(func() { n.keeper.Run(ctx) })
	s.members.Publish(append([]string{n.id}, s.members.Load()...))
	return n
}

// watch looks at the holdings for a time and returns the first violation.
func (s *testSite) watch(d time.Duration) error {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(tick) {
		if err := s.check(); err != nil {
			return err
		}
	}
	return nil
}

// check returns an error when two nodes are certain to own a resource, or have owned it with the same fence.
func (s *testSite) check() error {
	// The holdings of all nodes must be read at one instant: a hand-over takes no time in the bubble.
	synctest.Wait()
	confirmed := map[string]string{}
	for _, n := range s.nodes {
		h := n.keeper.Current().Load()
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
func (s *testSite) confirmed() int {
	total := 0
	for _, n := range s.nodes {
		total += n.confirmed()
	}
	return total
}

// confirmed returns the number of resources that the node is certain to own.
func (n *testNode) confirmed() int {
	if h := n.keeper.Current().Load(); h.Confirmed(time.Now()) {
		return len(h.ByResource)
	}
	return 0
}

// inBubble runs f in a synctest bubble and returns its error, for use within rapid.
func inBubble(t *testing.T, f func(t *testing.T) error) (err error) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) { err = f(t) })
	return err
}

// settle is long enough for every lease to lapse and every retry to happen.
const settle = 30 * time.Second

// resources is the number of resources that are wanted with an empty configuration.
const resources = ownership.ClaimShards
