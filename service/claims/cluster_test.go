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

// testNode is one node of a testCluster, with its own connection to the key-value service.
type testNode struct {
	id      string
	kv      *faultykv.KV
	manager *ownership.Manager
	shards  *ShardManager
	client  *Client
	// stop stops the node without a release of its lease, as a crash would.
	stop context.CancelFunc
}

// testCluster is a group of nodes that share a key-value service within a synctest bubble.
type testCluster struct {
	kv     *memory.KV
	nodes  []*testNode
	tasks  sync.WaitGroup
	writes atomic.Int64
}

// settleTime is long enough for every lease to expire and every retry to run.
const settleTime = 30 * time.Second

func newCluster(t *testing.T, nodes int, options Options) *testCluster {
	t.Helper()
	s := &testCluster{kv: memory.NewKV()}
	ctx, cancel := context.WithCancel(context.Background())
	s.tasks.Go(func() { s.kv.Run(ctx) })
	members := latest.New([]string(nil))
	var ids []string
	for i := range nodes {
		id := fmt.Sprintf("node-%d", i)
		ids = append(ids, id)
		n := &testNode{id: id, kv: &faultykv.KV{KV: s.kv, Writes: &s.writes}}
		n.manager = ownership.NewManager(zap.NewNop(), n.kv, ownership.Options{
			NodeID: id, LeaseTTL: 6 * time.Second, RenewInterval: 2 * time.Second, StartWithin: time.Second,
			CallTimeout: 2 * time.Second, Members: members,
		}, latest.New(config.NewSnapshot(0, nil)))
		n.shards = NewShardManager(zap.NewNop(), n.kv, options, n.manager.Current())
		n.client = NewClient(n.shards, testPeers{cluster: s, self: n})
		s.nodes = append(s.nodes, n)
	}
	members.Publish(ids)
	for _, n := range s.nodes {
		nodeCtx, stop := context.WithCancel(context.Background())
		n.stop = stop
		s.tasks.Go(func() { n.manager.Run(nodeCtx) })
		s.tasks.Go(func() { n.shards.Run(nodeCtx) })
	}
	t.Cleanup(func() {
		for _, n := range s.nodes {
			n.stop()
		}
		// Delayed responses must arrive before the tasks can end.
		time.Sleep(2 * faultykv.PauseDuration)
		cancel()
		s.tasks.Wait()
	})
	time.Sleep(settleTime)
	return s
}

func defaultOptions() Options {
	return Options{Retention: time.Hour, WritesPerSecond: 12, CallTimeout: 2 * time.Second}
}

// owner returns the confirmed owner of the shard of a key, or nil.
func (s *testCluster) owner(key message.ClaimKey) *testNode {
	for _, n := range s.nodes {
		h := n.manager.Current().Load()
		if _, ok := h.ByResource[shardName(key)]; ok && h.Confirmed(time.Now()) {
			return n
		}
	}
	return nil
}

// testPeers implements Peers and calls the other nodes directly. It finds the owner in the holdings that the nodes report,
// which may be stale.
type testPeers struct {
	cluster *testCluster
	self    *testNode
}

func (p testPeers) Owner(resource string) (message.Holding, bool) {
	best := message.Holding{}
	for _, n := range p.cluster.nodes {
		hold, ok := n.manager.Current().Load().ByResource[resource]
		if n != p.self && ok && hold.Fence > best.Fence {
			best = message.Holding{Resource: resource, Node: n.id, Fence: hold.Fence}
		}
	}
	return best, best.Fence > 0
}

func (p testPeers) node(h message.Holding) *testNode {
	for _, n := range p.cluster.nodes {
		if n.id == h.Node {
			return n
		}
	}
	return nil
}

func (p testPeers) Claim(ctx context.Context, h message.Holding, c message.ClaimRequest) (message.ClaimReply, error) {
	return p.node(h).shards.Claim(ctx, h, c), nil
}

func (p testPeers) Settle(ctx context.Context, h message.Holding, c message.ClaimSettle) error {
	return p.node(h).shards.Settle(ctx, h, c)
}

// keyOf returns a claim key whose first byte selects the shard.
func keyOf(shard, n int) message.ClaimKey {
	return message.ClaimKey{byte(decision.ClaimShards*(n%8) + shard), 1: byte(n >> 16), 2: byte(n >> 8), 3: byte(n)}
}

// claim requests a claim with a timeout of one second.
func (n *testNode) claim(key message.ClaimKey, attempt string) message.ClaimReply {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	reply, err := n.client.Claim(ctx, message.ClaimRequest{Key: key, Attempt: attempt, Fingerprint: 1})
	if err != nil {
		panic(err)
	}
	return reply
}

// settle reports the end of a claim with a timeout of one second.
func (n *testNode) settle(s message.ClaimSettle) error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	return n.client.Settle(ctx, s)
}
