package membership

import (
	"context"
	"net"
	"net/http"
	"os"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"azuredyke.dev/azuredyke/common/latest"
	"azuredyke.dev/azuredyke/common/message"
	"azuredyke.dev/azuredyke/decision/config"
	"azuredyke.dev/azuredyke/decision/membership"
	"azuredyke.dev/azuredyke/decision/ownership"
	"azuredyke.dev/azuredyke/transport/peer"
)

// measureEnv is the environment variable that enables TestCost.
const measureEnv = "AZUREDYKE_MEASURE"

// Limits of the design for one node in a fleet of 1,500: bytes per second sent and received, and share of a core.
const (
	maxBytesPerSecond = 3 << 10
	maxCPUShare       = 0.024
)

// changeInterval is the interval between configuration changes at 15,000 changes a day.
const changeInterval = 5760 * time.Millisecond

// settleTimePerMember, multiplied by the number of members, is the time until the changes of the start have spread: about
// 12 messages carry a record of about 100 bytes, and each node sends two messages of DefaultMessageBytes a second.
const settleTimePerMember = 700 * time.Millisecond

// countingListener counts the bytes in both directions of the connections that it accepts. Each connection is accepted
// once, so the sum over all listeners is the number of bytes that all nodes have sent.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countingConn{Conn: c, bytes: l.bytes}, err
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// socketFleet is a fleet of nodes in one process, connected over loopback sockets.
type socketFleet struct {
	agents  []*Agent
	configs []*latest.Value[*config.Snapshot]
	bytes   atomic.Int64
	stop    func()
}

func startFleet(t *testing.T, n int) *socketFleet {
	f := &socketFleet{}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	var servers []*http.Server
	var hosts []message.Host
	listeners := make([]net.Listener, n)
	for i := range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		listeners[i] = countingListener{Listener: l, bytes: &f.bytes}
		hosts = append(hosts, message.Host{ID: l.Addr().String(), Address: l.Addr().String(), Node: true})
	}
	for i := range n {
		id := hosts[i].Address
		hub := peer.NewHub(zap.NewNop(), peer.Options{NodeID: id, Secret: []byte("measure")})
		f.configs = append(f.configs, latest.New(config.NewSnapshot(1, nil)))
		agent := NewAgent(zap.NewNop(), Options{
			Self: membership.Member{ID: id, Address: id, DataCentre: "kolkata", Region: "bengal"},
		}, HubTransport{Hub: hub}, latest.New(hosts), f.configs[i], latest.New(ownership.Holdings{}))
		RegisterHandlers(hub, agent)
		f.agents = append(f.agents, agent)
		server := &http.Server{Handler: hub.Handler()}
		servers = append(servers, server)
		running.Go(func() { _ = server.Serve(listeners[i]) })
		running.Go(func() { hub.Run(ctx) })
		running.Go(func() { agent.Run(ctx) })
	}
	f.stop = func() {
		for _, s := range servers {
			_ = s.Close()
		}
		cancel()
		running.Wait()
	}
	return f
}

// settle waits until the table of each node lists all members as alive.
func (f *socketFleet) settle(t *testing.T) {
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for _, agent := range f.agents {
			if n := len(agent.Current().Load().Alive()); n != len(f.agents) {
				return poll.Continue("%d of %d members alive", n, len(f.agents))
			}
		}
		return poll.Success()
	}, poll.WithTimeout(2*time.Minute), poll.WithDelay(50*time.Millisecond))
}

func cpuTime(t *testing.T) time.Duration {
	var u syscall.Rusage
	assert.NilError(t, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// Guards against members that do not discover each other over real connections.
func TestFleetOverSockets(t *testing.T) {
	f := startFleet(t, 8)
	defer f.stop()
	f.settle(t)
}

// TestCost reports the bytes and the CPU time of one node at several fleet sizes. The bytes are those in the connections,
// without TCP and IP headers. The test guards against a cost that grows with the fleet: the limits are those for 1,500
// nodes. It runs for about five minutes.
func TestCost(t *testing.T) {
	if os.Getenv(measureEnv) == "" {
		t.Skip(measureEnv + " is not set")
	}
	const period = 20 * time.Second
	for _, n := range []int{8, 16, 32, 64, 128} {
		f := startFleet(t, n)
		f.settle(t)
		time.Sleep(max(10*time.Second, time.Duration(n)*settleTimePerMember))
		bytes, cpu, begin := f.bytes.Load(), cpuTime(t), time.Now()
		changes := time.NewTicker(changeInterval)
		for revision := int64(2); time.Since(begin) < period; revision++ {
			<-changes.C
			f.configs[int(revision)%n].Publish(config.NewSnapshot(revision, nil))
		}
		changes.Stop()
		elapsed := time.Since(begin)
		sent := float64(f.bytes.Load()-bytes) / elapsed.Seconds() / float64(n)
		share := float64(cpuTime(t)-cpu) / float64(elapsed) / float64(n)
		var memory runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&memory)
		t.Logf("%d members: sent %.0f B/s a node (the same received), CPU %.3f%% of a core a node, memory %d KB a node",
			n, sent, 100*share, (memory.HeapInuse+memory.StackInuse)/uint64(n)/1024)
		f.stop()
		assert.Check(t, 2*sent <= maxBytesPerSecond, "%d members: %.0f B/s sent and received", n, 2*sent)
		assert.Check(t, share <= maxCPUShare, "%d members: %.4f of a core", n, share)
	}
}
