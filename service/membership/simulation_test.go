package membership

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"azuredyke.dev/azuredyke/common/latest"
	"azuredyke.dev/azuredyke/common/message"
	"azuredyke.dev/azuredyke/decision/config"
	"azuredyke.dev/azuredyke/decision/membership"
	"azuredyke.dev/azuredyke/decision/ownership"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const linkDelay = time.Millisecond

var errPartitioned = errors.New("partitioned from the target")

// simulation is a fleet whose members are connected by an in-memory network, within a synctest bubble.
type simulation struct {
	hosts *latest.Value[[]message.Host]
	nodes map[string]*simulatedNode
	// partitioned reports whether calls from the first member do not reach the second.
	partitioned *latest.Value[func(a, b string) bool]
}

type simulatedNode struct {
	agent    *Agent
	config   *latest.Value[*config.Snapshot]
	holdings *latest.Value[ownership.Holdings]
	stop     func()
}

func newSimulation(t *testing.T, n int) *simulation {
	s := &simulation{
		hosts: latest.New[[]message.Host](nil), nodes: map[string]*simulatedNode{},
		partitioned: latest.New(func(_, _ string) bool { return false }),
	}
	var hosts []message.Host
	for i := range n {
		hosts = append(hosts, message.Host{ID: nodeID(i), Address: nodeID(i), Node: true, DataCentre: "dc"})
	}
	s.hosts.Publish(hosts)
	for i := range n {
		s.add(nodeID(i))
	}
	for i := range n {
		s.run(t, nodeID(i))
	}
	return s
}

func nodeID(i int) string { return fmt.Sprintf("n%02d", i) }

func (s *simulation) add(id string) {
	n := &simulatedNode{config: latest.New(config.NewSnapshot(0, nil)), holdings: latest.New(ownership.Holdings{})}
	n.agent = NewAgent(zap.NewNop(), Options{
		Self: membership.Member{ID: id, Address: id, DataCentre: "dc"},
	}, &simulatedTransport{from: id, simulation: s}, s.hosts, n.config, n.holdings)
	s.nodes[id] = n
}

func (s *simulation) run(t *testing.T, id string) {
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	running.Go(func() { s.nodes[id].agent.Run(ctx) })
	s.nodes[id].stop = func() {
		cancel()
		running.Wait()
	}
}

func (s *simulation) stop() {
	for _, n := range s.nodes {
		n.stop()
	}
}

// alive returns the ids of the members that are alive in the table of a node.
func (s *simulation) alive(id string) []string {
	var out []string
	for _, m := range s.nodes[id].agent.Current().Load().Alive() {
		out = append(out, m.ID)
	}
	return out
}

func (s *simulation) own(id, resource string, fence uint64) {
	s.nodes[id].holdings.Publish(ownership.Holdings{ByResource: map[string]ownership.Hold{resource: {Fence: fence}}})
}

// simulatedTransport is the Transport of one simulated node.
type simulatedTransport struct {
	from       string
	simulation *simulation
}

// connect returns the task of another node after linkDelay. If the node is partitioned off, it returns an error when ctx
// ends.
func (l *simulatedTransport) connect(ctx context.Context, address string) (*Agent, error) {
	if l.simulation.partitioned.Load()(l.from, address) {
		<-ctx.Done()
		return nil, errPartitioned
	}
	time.Sleep(linkDelay)
	return l.simulation.nodes[address].agent, nil
}

func (l *simulatedTransport) Probe(ctx context.Context, a string, m membership.Message) (membership.Message, error) {
	t, err := l.connect(ctx, a)
	if err != nil {
		return membership.Message{}, err
	}
	return t.HandleProbe(ctx, m)
}

func (l *simulatedTransport) Indirect(ctx context.Context, a string, target membership.Target) (bool, error) {
	t, err := l.connect(ctx, a)
	if err != nil {
		return false, err
	}
	return t.HandleIndirectProbe(ctx, target), nil
}

func (l *simulatedTransport) Sync(ctx context.Context, a string, r membership.SyncRequest) (membership.SyncReply, error) {
	t, err := l.connect(ctx, a)
	if err != nil {
		return membership.SyncReply{}, err
	}
	return t.HandleSync(ctx, r)
}

func (l *simulatedTransport) Push(a string, m membership.Message) {
	if !l.simulation.partitioned.Load()(l.from, a) {
		l.simulation.nodes[a].agent.HandlePush(m)
	}
}

// Guards against halves of a partitioned fleet that lose their own members within an hour, and against halves that do not
// merge after the partition. After the merge, all members must have the owner with the higher fence and the newest revision.
func TestHalvesSurviveAnHourAndMerge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const n = 16
		s := newSimulation(t, n)
		defer s.stop()
		time.Sleep(time.Minute)
		for i := range n {
			assert.Equal(t, len(s.alive(nodeID(i))), n)
		}
		s.own(nodeID(0), "cell", 1)
		s.partitioned.Publish(func(a, b string) bool { return (a < nodeID(n/2)) != (b < nodeID(n/2)) })
		time.Sleep(time.Hour)
		for i := range n {
			alive := s.alive(nodeID(i))
			assert.Equal(t, len(alive), n/2, "%s sees %v", nodeID(i), alive)
			assert.Equal(t, alive[0] < nodeID(n/2), i < n/2)
		}
		s.own(nodeID(n-1), "cell", 2)
		s.nodes[nodeID(n-1)].config.Publish(config.NewSnapshot(7, nil))
		s.partitioned.Publish(func(_, _ string) bool { return false })
		time.Sleep(2 * time.Minute)
		for i := range n {
			assert.Equal(t, len(s.alive(nodeID(i))), n, nodeID(i))
			table := s.nodes[nodeID(i)].agent.Current().Load()
			owner, _ := table.Owner("cell")
			assert.Equal(t, owner.Node, nodeID(n-1))
			assert.Equal(t, table.NewestHead().Revision, int64(7))
		}
	})
}

// Guards against the removal of a member that only one other member cannot reach.
func TestMemberBehindAStalledLinkStays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSimulation(t, 8)
		defer s.stop()
		time.Sleep(time.Minute)
		s.partitioned.Publish(func(a, b string) bool { return a == nodeID(0) && b == nodeID(1) })
		for range 600 {
			time.Sleep(time.Second)
			for i := range 8 {
				assert.Equal(t, len(s.nodes[nodeID(i)].agent.Current().Load().Present()), 8)
			}
		}
	})
}

// Guards against an unreachable member that is not removed, and against a partitioned member that makes the others remove
// each other when it reconnects.
func TestDeadAndIsolatedMembers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSimulation(t, 8)
		defer s.stop()
		time.Sleep(time.Minute)
		s.partitioned.Publish(func(a, b string) bool { return (a == nodeID(3)) != (b == nodeID(3)) })
		time.Sleep(2 * time.Minute)
		for i := range 8 {
			if i != 3 {
				assert.Equal(t, len(s.nodes[nodeID(i)].agent.Current().Load().Present()), 7)
			}
		}
		s.partitioned.Publish(func(_, _ string) bool { return false })
		for range 120 {
			time.Sleep(time.Second)
			assert.Assert(t, len(s.nodes[nodeID(0)].agent.Current().Load().Present()) >= 7)
		}
		for i := range 8 {
			assert.Equal(t, len(s.alive(nodeID(i))), 8)
		}
	})
}

// Guards against slow propagation of new owners and revisions, for which requests wait, and of an announced leave.
func TestUrgentChangesSpreadWithinASecond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const n = 64
		s := newSimulation(t, n)
		defer s.stop()
		time.Sleep(2 * time.Minute)
		s.own(nodeID(5), "cell", 9)
		s.nodes[nodeID(6)].config.Publish(config.NewSnapshot(3, nil))
		time.Sleep(2 * time.Second)
		withOwner, withRevision := 0, 0
		for _, node := range s.nodes {
			table := node.agent.Current().Load()
			if owner, ok := table.Owner("cell"); ok && owner.Node == nodeID(5) && owner.Fence == 9 {
				withOwner++
			}
			if table.NewestHead().Revision == 3 {
				withRevision++
			}
		}
		t.Logf("%d of %d nodes have the owner, %d have the revision", withOwner, n, withRevision)
		assert.Assert(t, withOwner >= n*95/100 && withRevision >= n*95/100)
		assert.NilError(t, s.nodes[nodeID(7)].agent.Leave(t.Context()))
		time.Sleep(10 * time.Second)
		for id := range s.nodes {
			if id != nodeID(7) {
				assert.Equal(t, len(s.nodes[id].agent.Current().Load().Present()), n-1)
			}
		}
	})
}
