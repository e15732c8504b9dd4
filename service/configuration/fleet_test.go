package configuration

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"azuredyke.dev/azuredyke/backing"
	"azuredyke.dev/azuredyke/backing/memory"
	"azuredyke.dev/azuredyke/common/latest"
)

const (
	// fleetSize is the number of nodes for which the time limits are stated.
	fleetSize = 16
	// fleetRelays is the number of nodes that watch the key-value service.
	fleetRelays = 3
	// minDelay and maxDelay limit the one-way delay of a link; regions are tens of milliseconds apart.
	minDelay = time.Millisecond
	maxDelay = 80 * time.Millisecond
)

// fleet runs the configuration tasks of 16 nodes with one key-value service and links that have delays and stalls.
type fleet struct {
	kv      *faultyKV
	nodes   []*fleetNode
	random  *rand.Rand
	stalled [fleetSize][fleetSize]atomic.Bool
	ctx     context.Context
	cancel  context.CancelFunc
	tasks   sync.WaitGroup
}

// fleetNode is one node of a fleet. It implements Peers.
type fleetNode struct {
	fleet       *fleet
	index       int
	manager     *Manager
	changer     *Changer
	distributor *Distributor
	members     *latest.Value[[]Member]
	pulls       atomic.Int64
	wholePulls  atomic.Int64
}

// newFleet starts a fleet; stop ends it. The nodes use the key-value service that wrap returns, unless wrap is nil.
func newFleet(seed uint64, wrap func(backing.KV) backing.KV) *fleet {
	store := memory.NewKV()
	var kv backing.KV = store
	if wrap != nil {
		kv = wrap(kv)
	}
	f := &fleet{kv: &faultyKV{KV: kv}, random: rand.New(rand.NewPCG(seed, seed))}
	f.ctx, f.cancel = context.WithCancel(context.Background())
	f.tasks.Go(func() { store.Run(f.ctx) })
	for i := range fleetSize {
		f.nodes = append(f.nodes, f.newNode(i))
	}
	for _, n := range f.nodes {
		n.publishMembers(nil)
		f.startNode(n)
	}
	return f
}

func (f *fleet) newNode(i int) *fleetNode {
	log := zap.NewNop()
	n := &fleetNode{fleet: f, index: i, manager: NewManager(log), members: latest.New[[]Member](nil)}
	n.changer = NewChanger(log, f.kv, n.manager)
	return n
}

// startNode starts the tasks of a node.
func (f *fleet) startNode(n *fleetNode) {
	watcher := NewRelayWatcher(zap.NewNop(), f.kv, n.manager, latest.New(n.index < fleetRelays))
	n.distributor = NewDistributor(zap.NewNop(), n.manager, n, watcher, DistributorOptions{
		SelfAddress: fmt.Sprint(n.index), Random: rand.New(rand.NewPCG(f.random.Uint64(), 1)),
	})
	for _, run := range []func(context.Context){n.manager.Run, n.changer.Run, watcher.Run, n.distributor.Run} {
		f.tasks.Go(func() { run(f.ctx) })
	}
}

// publishMembers publishes all other nodes as members of the node, with the given revisions.
func (n *fleetNode) publishMembers(revisions map[int]int64) {
	var members []Member
	for i := range fleetSize {
		if i != n.index {
			members = append(members, Member{ID: fmt.Sprint(i), Address: fmt.Sprint(i), Revision: revisions[i]})
		}
	}
	n.members.Publish(members)
}

// stop stops the tasks of the fleet and waits for them.
func (f *fleet) stop() {
	f.cancel()
	f.tasks.Wait()
}

// stallHalfOfLinks stalls or unstalls each link with equal probability, in both directions.
func (f *fleet) stallHalfOfLinks() {
	for i := range fleetSize {
		for j := range i {
			stalled := f.random.IntN(2) == 0
			f.stalled[i][j].Store(stalled)
			f.stalled[j][i].Store(stalled)
		}
	}
}

// crossLink waits for the one-way delay of a link. If the link is stalled, it waits until ctx ends and returns an error.
func (n *fleetNode) crossLink(ctx context.Context, to int) error {
	if n.fleet.stalled[n.index][to].Load() {
		<-ctx.Done()
		return ctx.Err()
	}
	select {
	case <-time.After(minDelay + rand.N(maxDelay-minDelay)):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// nodeAt returns the node with an address.
func (n *fleetNode) nodeAt(address string) *fleetNode {
	for i, other := range n.fleet.nodes {
		if fmt.Sprint(i) == address {
			return other
		}
	}
	return nil
}

// Members implements Peers.
func (n *fleetNode) Members() *latest.Value[[]Member] { return n.members }

// Pull implements Peers.
func (n *fleetNode) Pull(ctx context.Context, address string, have int64) (PullReply, error) {
	n.pulls.Add(1)
	to := n.nodeAt(address)
	if err := n.crossLink(ctx, to.index); err != nil {
		return PullReply{}, err
	}
	reply := to.manager.AnswerPull(have)
	if reply.Whole {
		n.wholePulls.Add(1)
	}
	return reply, n.crossLink(ctx, to.index)
}

// Notify implements Peers.
func (n *fleetNode) Notify(address string, notice Notice) {
	n.fleet.tasks.Go(func() {
		to := n.nodeAt(address)
		if n.crossLink(n.fleet.ctx, to.index) == nil {
			to.distributor.ReceiveNotice(notice)
		}
	})
}

// waitInForce waits until every node has a revision in force, and returns the waiting time.
func (f *fleet) waitInForce(revision int64) time.Duration {
	start := time.Now()
	for _, n := range f.nodes {
		for {
			s, changed := n.manager.Current().Watch()
			if s.Revision() >= revision {
				break
			}
			<-changed
		}
	}
	return time.Since(start)
}
