package claims

import (
	"context"
	"maps"
	"sync"

	"go.uber.org/zap"

	"azuredyke.dev/azuredyke/backing"
	"azuredyke.dev/azuredyke/common/latest"
	"azuredyke.dev/azuredyke/common/message"
	"azuredyke.dev/azuredyke/decision/ownership"
)

// ShardManager is the task that runs a Shard for each claim shard that the node owns.
type ShardManager struct {
	log      *zap.Logger
	kv       backing.KV
	options  Options
	holdings *latest.Value[ownership.Holdings]
	current  *latest.Value[map[string]*Shard]
	running  map[string]runningShard
	tasks    sync.WaitGroup
}

// runningShard is a Shard whose task is running, with the function that stops the task.
type runningShard struct {
	shard *Shard
	stop  context.CancelFunc
}

// NewShardManager returns a ShardManager that runs no shard yet.
func NewShardManager(log *zap.Logger, kv backing.KV, options Options, holdings *latest.Value[ownership.Holdings]) *ShardManager {
	return &ShardManager{
		log: log, kv: kv, options: options, holdings: holdings, current: latest.New(map[string]*Shard{}),
		running: map[string]runningShard{},
	}
}

// Run starts and stops shards until ctx ends, and returns when all shards have stopped.
func (m *ShardManager) Run(ctx context.Context) {
	defer m.tasks.Wait()
	for {
		holdings, changed := m.holdings.Watch()
		m.reconcile(ctx, holdings)
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// reconcile starts and stops shards so that the running shards match the holdings.
func (m *ShardManager) reconcile(ctx context.Context, h ownership.Holdings) {
	for name, r := range m.running {
		if hold, ok := h.ByResource[name]; !ok || hold.Fence != r.shard.fence {
			r.stop()
			delete(m.running, name)
			m.log.Info("claim shard stopped", zap.String("shard", name))
		}
	}
	for i := range ownership.ClaimShards {
		name := ownership.ClaimShardName(i)
		hold, owned := h.ByResource[name]
		if _, ok := m.running[name]; ok || !owned {
			continue
		}
		shardCtx, stop := context.WithCancel(ctx)
		r := runningShard{shard: newShard(m.log, m.kv, m.options, name, hold.Fence, m.holdings), stop: stop}
		m.running[name] = r
		m.tasks.Go(func() { r.shard.run(shardCtx) })
	}
	current := make(map[string]*Shard, len(m.running))
	for name, r := range m.running {
		current[name] = r.shard
	}
	if !maps.Equal(current, m.current.Load()) {
		m.current.Publish(current)
	}
}

// Claim handles a claim from another node, which names the holding that it believes this node to have. The claim is
// refused unless this node owns the shard with the fence of the holding.
func (m *ShardManager) Claim(ctx context.Context, holding message.Holding, r message.ClaimRequest) message.ClaimReply {
	shard, ok := m.current.Load()[holding.Resource]
	if !ok || shard.fence != holding.Fence || holding.Resource != shardName(r.Key) {
		return unavailableReply(busyRetryAfter)
	}
	return shard.Claim(ctx, r)
}

// Settle queues the end of a claim from another node. It returns an error unless this node owns the shard with the fence
// of the holding.
func (m *ShardManager) Settle(ctx context.Context, holding message.Holding, c message.ClaimSettle) error {
	shard, ok := m.current.Load()[holding.Resource]
	if !ok || shard.fence != holding.Fence || holding.Resource != shardName(c.Key) {
		return Error.New("this node does not own %s with fence %d", holding.Resource, holding.Fence)
	}
	return shard.Settle(ctx, c)
}

// Drain returns once the records that a shard has accepted are durable, so that a planned hand-over loses no outcome. It
// returns immediately if the node does not run the shard.
func (m *ShardManager) Drain(ctx context.Context, resource string) error {
	shard, ok := m.current.Load()[resource]
	if !ok {
		return nil
	}
	done := make(chan struct{})
	if err := shard.messages.Send(ctx, drainMessage{done: done}); err != nil {
		return Error.Wrap(err)
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return Error.Wrap(ctx.Err())
	}
}

// shardName returns the name of the shard that owns a key. The first byte of the key selects the shard.
func shardName(key message.ClaimKey) string {
	return ownership.ClaimShardName(int(key[0]) % ownership.ClaimShards)
}
