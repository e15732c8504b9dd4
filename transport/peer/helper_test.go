package peer

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"
	"go.uber.org/zap/zaptest"
	"gotest.tools/v3/assert"
)

// testTimeout bounds the waits for events that normally follow at once, so that a failing test ends.
const testTimeout = 30 * time.Second

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testNode is a hub with a listener.
type testNode struct {
	hub     *Hub
	address string
	stop    func()
}

func startNode(t *testing.T, o Options, register func(*Hub)) *testNode {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	if o.NodeID == "" {
		o.NodeID = listener.Addr().String()
	}
	hub := NewHub(zaptest.NewLogger(t), o)
	if register != nil {
		register(hub)
	}
	ctx, cancel := context.WithCancel(context.Background())
	server := &http.Server{Handler: hub.Handler()}
	var running sync.WaitGroup
	running.Go(func() { _ = server.Serve(listener) })
	running.Go(func() { hub.Run(ctx) })
	n := &testNode{hub: hub, address: listener.Addr().String(), stop: sync.OnceFunc(func() {
		_ = server.Close()
		cancel()
		running.Wait()
	})}
	t.Cleanup(n.stop)
	return n
}

// stallingProxy forwards TCP connections. A stalled connection stays open without any data being forwarded.
type stallingProxy struct {
	address  string
	accepted atomic.Int64
	stalled  atomic.Pointer[chan struct{}]
}

func startProxy(t *testing.T, target string) *stallingProxy {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	p := &stallingProxy{address: listener.Addr().String()}
	open := make(chan struct{})
	p.stalled.Store(&open)
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() {
		for {
			in, err := listener.Accept()
			if err != nil {
				return
			}
			p.accepted.Add(1)
			out, err := net.Dial("tcp", target)
			if err != nil {
				_ = in.Close()
				continue
			}
			stall := *p.stalled.Load()
			running.Go(func() { forward(ctx, in, out, stall) })
			running.Go(func() { forward(ctx, out, in, stall) })
		}
	})
	t.Cleanup(func() {
		_ = listener.Close()
		cancel()
		running.Wait()
	})
	return p
}

// stallOpen stalls the connections that are open now. Later connections are forwarded.
func (p *stallingProxy) stallOpen() {
	next := make(chan struct{})
	close(*p.stalled.Swap(&next))
}

func forward(ctx context.Context, from, to net.Conn, stall <-chan struct{}) {
	defer to.Close()
	stop := context.AfterFunc(ctx, func() { _ = from.Close() })
	defer stop()
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		select {
		case <-stall:
			<-ctx.Done()
			return
		default:
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if err != io.EOF {
				_ = from.Close()
			}
			return
		}
	}
}
