package claims

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"azuredyke.dev/azuredyke/backing/memory"
	"azuredyke.dev/azuredyke/common/latest"
	"azuredyke.dev/azuredyke/common/message"
	"azuredyke.dev/azuredyke/decision/config"
	decision "azuredyke.dev/azuredyke/decision/ownership"
	"azuredyke.dev/azuredyke/fake/faultykv"
	"azuredyke.dev/azuredyke/service/ownership"
)

// testNode is one node of a testSite, with its own connection to the key-value service.
type testNode struct {
	id     string
	kv     *faultykv.KV
	keeper *ownership.Keeper
	shards *Shards
	client *Client
	// stop ends the node as a crash would.
	stop context.CancelFunc
}

// testSite is several nodes that share a key-value service, within a synctest bubble.
type testSite struct {
	kv     *memory.KV
	nodes  []*testNode
	tasks  sync.WaitGroup
	writes atomic.Int64
}

// settle is long enough for every lease to lapse and every retry to happen.
const settle = 30 * time.Second

func newSite(t *testing.T, nodes int, options Options) *testSite {
	t.Helper()
	s := &testSite{kv: memory.NewKV()}
	ctx, cancel := context.WithCancel(context.Background())
	s.tasks.Go(func() { s.kv.Run(ctx) })
	members := latest.New([]string(nil))
	var ids []string
	for i := range nodes {
		id := fmt.Sprintf("node-%d", i)
		ids = append(ids, id)
		n := &testNode{id: id, kv: &faultykv.KV{KV: s.kv, Writes: &s.writes}}
		n.keeper = ownership.NewKeeper(zap.NewNop(), n.kv, ownership.Options{
			NodeID: id, LeaseTTL: 6 * time.Second, RenewInterval: 2 * time.Second, StartWithin: time.Second,
			CallTimeout: 2 * time.Second, Members: members,
		}, latest.New(config.NewSnapshot(0, nil)))
		n.shards = NewShards(zap.NewNop(), n.kv, options, n.keeper.Current())
		n.client = NewClient(n.shards, testRemote{site: s, self: n})
		s.nodes = append(s.nodes, n)
	}
	members.Publish(ids)
	for _, n := range s.nodes {
		nodeCtx, stop := context.WithCancel(context.Background())
		n.stop = stop
		s.tasks.Go(func() { n.keeper.Run(nodeCtx) })
		s.tasks.Go(func() { n.shards.Run(nodeCtx) })
	}
	t.Cleanup(func() {
		for _, n := range s.nodes {
			n.stop()
		}
		// Answers that are held back must arrive before the tasks can end.
		time.Sleep(2 * faultykv.PauseFor)
		cancel()
		s.tasks.Wait()
	})
	time.Sleep(settle)
	return s
}

func defaultOptions() Options {
	return Options{Retention: time.Hour, WritesPerSecond: 12, CallTimeout: 2 * time.Second}
}

// owner returns the node that is certain to own the shard of a key, or nil.
func (s *testSite) owner(key message.ClaimKey) *testNode {
	for _, n := range s.nodes {
		h := n.keeper.Current().Load()
		if _, ok := h.ByResource[shardName(key)]; ok && h.Confirmed(time.Now()) {
			return n
		}
	}
	return nil
}

// testRemote reaches the other nodes by calls. Its view of owners is what the nodes believe, as with gossip.
type testRemote struct {
	site *testSite
	self *testNode
}

func (r testRemote) Owner(resource string) (message.Holding, bool) {
	best := message.Holding{}
	for _, n := range r.site.nodes {
		hold, ok := n.keeper.Current().Load().ByResource[resource]
		if n != r.self && ok && hold.Fence > best.Fence {
			best = message.Holding{Resource: resource, Node: n.id, Fence: hold.Fence}
		}
	}
	return best, best.Fence > 0
}

func (r testRemote) node(h message.Holding) *testNode {
	for _, n := range r.site.nodes {
		if n.id == h.Node {
			return n
		}
	}
	return nil
}

func (r testRemote) Claim(ctx context.Context, h message.Holding, c message.ClaimRequest) (message.ClaimReply, error) {
	return r.node(h).shards.Claim(ctx, h, c), nil
}

func (r testRemote) Settle(ctx context.Context, h message.Holding, c message.ClaimSettle) error {
	return r.node(h).shards.Settle(ctx, h, c)
}

// keyOf returns a claim key whose first byte selects the shard.
func keyOf(shard, n int) message.ClaimKey {
	return message.ClaimKey{byte(decision.ClaimShards*(n%8) + shard), 1: byte(n >> 16), 2: byte(n >> 8), 3: byte(n)}
}

// claim asks for a claim with a timeout.
func (n *testNode) claim(key message.ClaimKey, attempt string) message.ClaimReply {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	reply, err := n.client.Claim(ctx, message.ClaimRequest{Key: key, Attempt: attempt, Fingerprint: 1})
	if err != nil {
		panic(err)
	}
	return reply
}

// settle ends a claim with a timeout.
func (n *testNode) settle(s message.ClaimSettle) error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	return n.client.Settle(ctx, s)
}
