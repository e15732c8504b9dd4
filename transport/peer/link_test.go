package peer

import (
	"context"
	"net"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// Guards against a stalled link that stays in use because its connection is not closed.
func TestStalledLinkIsReplaced(t *testing.T) {
	server := startNode(t, Options{}, registerEcho)
	proxy := startProxy(t, server.address)
	client := startNode(t, Options{PingAfter: 20 * time.Millisecond, DeadAfter: 200 * time.Millisecond}, nil)
	_, err := Call[string, string](testContext(t), client.hub, proxy.address, "echo", "before")
	assert.NilError(t, err)
	proxy.stallOpen()
	_, err = Call[string, string](testContext(t), client.hub, proxy.address, "echo", "lost")
	assert.Assert(t, ErrMayBeDelivered.Has(err), "%v", err)
	reply, err := Call[string, string](testContext(t), client.hub, proxy.address, "echo", "after")
	assert.NilError(t, err)
	assert.Equal(t, reply, "after")
	assert.Equal(t, proxy.accepted.Load(), int64(2))
}

// Guards against a stalled link that stays in use because the deadline of each call is shorter than DeadAfter.
func TestStalledLinkIsReplacedAfterShortCalls(t *testing.T) {
	server := startNode(t, Options{}, registerEcho)
	proxy := startProxy(t, server.address)
	client := startNode(t, Options{PingAfter: 20 * time.Millisecond, DeadAfter: 200 * time.Millisecond}, nil)
	_, err := Call[string, string](testContext(t), client.hub, proxy.address, "echo", "before")
	assert.NilError(t, err)
	proxy.stallOpen()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		if _, err := Call[string, string](ctx, client.hub, proxy.address, "echo", "short"); err != nil {
			return poll.Continue("%v", err)
		}
		return poll.Success()
	}, poll.WithTimeout(testTimeout))
	assert.Assert(t, proxy.accepted.Load() >= 2)
}

// Guards against a handler that runs on after the link to its caller has stalled.
func TestHandlerEndsWhenTheLinkStalls(t *testing.T) {
	entered, ended := make(chan struct{}), make(chan error, 1)
	server := startNode(t, Options{PingAfter: 20 * time.Millisecond, DeadAfter: 100 * time.Millisecond}, func(h *Hub) {
		Handle(h, "wait", 0, func(ctx context.Context, _ string, _ int) (int, error) {
			close(entered)
			<-ctx.Done()
			ended <- ctx.Err()
			return 0, ctx.Err()
		})
	})
	proxy := startProxy(t, server.address)
	client := startNode(t, Options{PingAfter: 20 * time.Millisecond, DeadAfter: testTimeout}, nil)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	go func() { _, _ = Call[int, int](ctx, client.hub, proxy.address, "wait", 1) }()
	<-entered
	proxy.stallOpen()
	assert.ErrorIs(t, <-ended, context.Canceled)
}

// Guards against a link that is closed as dead or idle during a long call.
func TestSlowHandlerKeepsTheLink(t *testing.T) {
	options := Options{PingAfter: 10 * time.Millisecond, DeadAfter: 10 * time.Second, IdleTimeout: 20 * time.Millisecond}
	server := startNode(t, options, func(h *Hub) {
		Handle(h, "slow", 0, func(ctx context.Context, _ string, q time.Duration) (string, error) {
			select {
			case <-time.After(q):
				return "done", nil
			case <-ctx.Done():
				return "", ctx.Err()
			}
		})
	})
	client := startNode(t, options, nil)
	reply, err := Call[time.Duration, string](testContext(t), client.hub, server.address, "slow", 500*time.Millisecond)
	assert.NilError(t, err)
	assert.Equal(t, reply, "done")
}

// Guards against an accepted link that is closed as idle before a busy dialler has sent its first call, or while the handler of
// a call runs and a ping is late.
func TestAcceptedLinkWaitsForItsFirstCall(t *testing.T) {
	hub := NewHub(zap.NewNop(), Options{IdleTimeout: 20 * time.Millisecond, DeadAfter: 10 * time.Second})
	start := time.Unix(100, 0)
	l := newLink(hub, "", nil)
	l.lastUsed, l.lastReceived = start, start
	assert.NilError(t, l.checkTimeouts(start.Add(time.Second)))
	assert.ErrorContains(t, l.checkTimeouts(start.Add(20*time.Second)), "idle")
	called := start.Add(time.Second)
	l.recordReceived(called)
	l.running[1] = func() {}
	assert.NilError(t, l.checkTimeouts(called.Add(time.Second)))
	assert.ErrorContains(t, l.checkTimeouts(called.Add(20*time.Second)), "no ping")
	delete(l.running, 1)
	assert.NilError(t, l.checkTimeouts(called.Add(39*time.Millisecond)))
	assert.ErrorContains(t, l.checkTimeouts(called.Add(40*time.Millisecond)), "idle")
}

// Guards against idle links that stay open, and against calls that fail because a link was closed as idle.
func TestIdleLinkIsClosedAndOpenedAgain(t *testing.T) {
	server := startNode(t, Options{}, registerEcho)
	client := startNode(t, Options{PingAfter: 10 * time.Millisecond, IdleTimeout: 20 * time.Millisecond}, nil)
	for range 3 {
		_, err := Call[string, string](testContext(t), client.hub, server.address, "echo", "x")
		assert.NilError(t, err)
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if n := len(client.hub.published.Load()); n > 0 {
				return poll.Continue("%d links", n)
			}
			return poll.Success()
		}, poll.WithTimeout(testTimeout), poll.WithDelay(time.Millisecond))
	}
}

// Guards against a link to or from a node that does not have the shared secret.
func TestWrongSecretIsRefused(t *testing.T) {
	for name, secrets := range map[string][2]string{
		"other": {"one", "two"}, "dialler has none": {"", "two"}, "acceptor has none": {"one", ""},
	} {
		t.Run(name, func(t *testing.T) {
			served := make(chan struct{}, 1)
			server := startNode(t, Options{Secret: []byte(secrets[1])}, func(h *Hub) {
				HandleNotice(h, "note", func(context.Context, string, int) { served <- struct{}{} })
				registerEcho(h)
			})
			client := startNode(t, Options{Secret: []byte(secrets[0])}, nil)
			_, err := Call[string, string](testContext(t), client.hub, server.address, "echo", "x")
			assert.Assert(t, ErrNotDelivered.Has(err), "%v", err)
			assert.ErrorContains(t, err, "shared secret")
			assert.Equal(t, len(served), 0)
		})
	}
}

// Guards against an unauthenticated link to an address that is not a loopback address.
func TestEmptySecretIsForLoopbackOnly(t *testing.T) {
	client := startNode(t, Options{}, nil)
	_, err := Call[string, string](testContext(t), client.hub, "192.0.2.1:1", "echo", "x")
	assert.Assert(t, ErrNotDelivered.Has(err))
	assert.ErrorContains(t, err, "no shared secret")
	assert.Assert(t, !isLoopback("192.0.2.1:1") && !isLoopback("host:1") && isLoopback("127.0.0.1:1") && isLoopback("[::1]:1"))
}

// Guards against calls that do not return when the hub of their node stops.
func TestCallsEndWithTheHub(t *testing.T) {
	entered := make(chan struct{})
	server := startNode(t, Options{}, func(h *Hub) {
		Handle(h, "wait", 0, func(ctx context.Context, _ string, _ int) (int, error) {
			close(entered)
			<-ctx.Done()
			return 0, ctx.Err()
		})
	})
	client := startNode(t, Options{}, nil)
	result := make(chan error, 1)
	go func() {
		_, err := Call[int, int](testContext(t), client.hub, server.address, "wait", 1)
		result <- err
	}()
	<-entered
	client.stop()
	assert.Assert(t, ErrMayBeDelivered.Has(<-result))
	_, err := Call[int, int](testContext(t), client.hub, server.address, "wait", 1)
	assert.Assert(t, ErrNotDelivered.Has(err))
}

// Guards against an unbounded queue while a link cannot send, and against calls that wait for room in the queue.
func TestFullQueueRefusesAtOnce(t *testing.T) {
	// The listener never accepts, so connections are established but get no response.
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	address := listener.Addr().String()
	client := startNode(t, Options{QueueSize: 4, DialTimeout: testTimeout}, nil)
	accepted := 0
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if Notify(client.hub, address, "note", 1) {
			accepted++
			return poll.Continue("%d accepted", accepted)
		}
		return poll.Success()
	}, poll.WithTimeout(testTimeout), poll.WithDelay(time.Millisecond))
	_, err = Call[int, int](testContext(t), client.hub, address, "echo", 1)
	assert.Assert(t, ErrNotDelivered.Has(err))
	assert.ErrorContains(t, err, "full")
}

// Guards against an unbounded number of links that other nodes open.
func TestIncomingLinksAreBounded(t *testing.T) {
	server := startNode(t, Options{MaxIncoming: 1}, registerEcho)
	first, second := startNode(t, Options{}, nil), startNode(t, Options{}, nil)
	_, err := Call[string, string](testContext(t), first.hub, server.address, "echo", "x")
	assert.NilError(t, err)
	_, err = Call[string, string](testContext(t), second.hub, server.address, "echo", "x")
	assert.Assert(t, ErrNotDelivered.Has(err), "%v", err)
}
