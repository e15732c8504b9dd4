package peer

import (
	"context"
	"errors"
	"net"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

func registerEcho(h *Hub) {
	Handle(h, "echo", 0, func(_ context.Context, _ string, q string) (string, error) { return q, nil })
}

func testContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	t.Cleanup(cancel)
	return ctx
}

// Guards against replies that reach the wrong caller, and against a handler that gets the wrong node id of its caller.
func TestConcurrentCallsGetTheirOwnReplies(t *testing.T) {
	secret := []byte("secret")
	server := startNode(t, Options{NodeID: "b", Secret: secret}, func(h *Hub) {
		Handle(h, "who", 0, func(_ context.Context, from string, q int) ([]any, error) { return []any{from, q}, nil })
	})
	client := startNode(t, Options{NodeID: "a", Secret: secret}, nil)
	results := make(chan error, 200)
	for i := range cap(results) {
		go func() {
			r, err := Call[int, []any](testContext(t), client.hub, server.address, "who", i)
			if err == nil && (r[0] != "a" || r[1] != uint64(i)) {
				err = errors.New("wrong reply")
			}
			results <- err
		}()
	}
	for range cap(results) {
		assert.NilError(t, <-results)
	}
	assert.Equal(t, len(client.hub.published.Load()), 1)
}

// Guards against an error class that is wrong about whether the handler may have run.
func TestErrorClassReportsWhetherHandlerMayHaveRun(t *testing.T) {
	entered := make(chan struct{}, 1)
	server := startNode(t, Options{}, func(h *Hub) {
		registerEcho(h)
		Handle(h, "fail", 0, func(context.Context, string, int) (int, error) { return 0, errors.New("no stock") })
		Handle(h, "panic", 0, func(context.Context, string, int) (int, error) { panic("test") })
		Handle(h, "wait", 1, func(ctx context.Context, _ string, _ int) (int, error) {
			entered <- struct{}{}
			<-ctx.Done()
			return 0, ctx.Err()
		})
	})
	client := startNode(t, Options{MaxFrame: 4096}, nil)
	call := func(ctx context.Context, kind string) error {
		_, err := Call[int, int](ctx, client.hub, server.address, kind, 1)
		return err
	}
	assert.Assert(t, ErrNotDelivered.Has(call(testContext(t), "unknown")))
	err := call(testContext(t), "fail")
	assert.Assert(t, ErrRemote.Has(err))
	assert.ErrorContains(t, err, "no stock")
	assert.Assert(t, ErrRemote.Has(call(testContext(t), "panic")))
	_, err = Call[string, string](testContext(t), client.hub, server.address, "echo", strings.Repeat("x", 4096))
	assert.Assert(t, ErrNotDelivered.Has(err))
	_, err = Call[string, string](testContext(t), client.hub, server.address, "fail", "text")
	assert.Assert(t, ErrNotDelivered.Has(err), "a body of the wrong type: %v", err)

	ctx, cancel := context.WithCancel(t.Context())
	result := make(chan error, 1)
	go func() { result <- call(ctx, "wait") }()
	<-entered
	assert.Assert(t, ErrNotDelivered.Has(call(testContext(t), "wait")), "the limit of one handler is reached")
	cancel()
	assert.Assert(t, ErrMayBeDelivered.Has(<-result))
}

// Guards against a handler that runs on, and occupies its slot, after its caller has given up.
func TestHandlerEndsWhenTheCallerGivesUp(t *testing.T) {
	entered, ended := make(chan struct{}), make(chan error)
	// DeadAfter is long, so that only the cancellation by the caller ends the handler.
	server := startNode(t, Options{DeadAfter: testTimeout}, func(h *Hub) {
		Handle(h, "wait", 0, func(ctx context.Context, _ string, _ int) (int, error) {
			entered <- struct{}{}
			<-ctx.Done()
			ended <- ctx.Err()
			return 0, ctx.Err()
		})
	})
	client := startNode(t, Options{}, nil)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	go func() { _, _ = Call[int, int](ctx, client.hub, server.address, "wait", 1) }()
	<-entered
	cancel()
	select {
	case err := <-ended:
		assert.ErrorIs(t, err, context.Canceled)
	case <-testContext(t).Done():
		t.Fatal("the handler still runs")
	}
}

// Guards against a handler that runs past the deadline of its caller.
func TestRemainingDeadlineReachesTheHandler(t *testing.T) {
	server := startNode(t, Options{}, func(h *Hub) {
		Handle(h, "left", 0, func(ctx context.Context, _ string, _ int) (time.Duration, error) {
			deadline, _ := ctx.Deadline()
			return time.Until(deadline), nil
		})
	})
	client := startNode(t, Options{CallTimeout: time.Hour}, nil)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	left, err := Call[int, time.Duration](ctx, client.hub, server.address, "left", 1)
	assert.NilError(t, err)
	assert.Assert(t, left > 0 && left <= testTimeout, "%v", left)
}

// Guards against a call that waits for an unreachable node, and against dialling the node again without a backoff.
func TestUnreachableNodeFailsAtOnceDuringBackoff(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := listener.Addr().String()
	assert.NilError(t, listener.Close())
	client := startNode(t, Options{MinBackoff: time.Hour, MaxBackoff: time.Hour}, nil)
	_, err = Call[int, int](testContext(t), client.hub, address, "echo", 1)
	assert.Assert(t, ErrNotDelivered.Has(err))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		_, err = Call[int, int](testContext(t), client.hub, address, "echo", 1)
		assert.Assert(t, ErrNotDelivered.Has(err))
		if strings.Contains(err.Error(), "dialled again in") {
			return poll.Success()
		}
		return poll.Continue("%v", err)
	}, poll.WithTimeout(testTimeout))
}

// Guards against the loss of a notice to a node to which no link is open.
func TestNoticeOpensTheLink(t *testing.T) {
	got := make(chan string, 2)
	server := startNode(t, Options{}, func(h *Hub) {
		HandleNotice(h, "note", func(_ context.Context, _ string, q string) { got <- q })
	})
	client := startNode(t, Options{}, nil)
	assert.Assert(t, Notify(client.hub, server.address, "note", "one"))
	assert.Equal(t, <-got, "one")
	assert.Assert(t, Notify(client.hub, server.address, "note", "two"))
	assert.Equal(t, <-got, "two")
}
