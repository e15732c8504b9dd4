package etcd

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"azuredyke.dev/azuredyke/backing"
)

func put(key, value string) backing.Txn {
	return backing.Txn{
		Conditions: []backing.Condition{{Key: key}}, Writes: []backing.Write{{Key: key, Value: []byte(value)}},
	}
}

// unusedAddress returns a loopback address on which nothing listens.
func unusedAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	return l.Addr().String()
}

// Guards against a range that loses or repeats entries between pages, or returns keys without the prefix.
func TestRangeReadsAllPages(t *testing.T) {
	_, address := startServer(t)
	c := startClient(t, callTimeout, address)
	const entries = firstPage*2 + 7
	for i := range entries {
		_, err := c.Commit(t.Context(), put(fmt.Sprintf("a/%04d", i), "x"))
		assert.NilError(t, err)
	}
	_, err := c.Commit(t.Context(), put("b/1", "x"))
	assert.NilError(t, err)
	result, err := c.Range(t.Context(), "a/")
	assert.NilError(t, err)
	assert.Equal(t, len(result.Entries), entries)
	for i, e := range result.Entries {
		assert.Equal(t, e.Key, fmt.Sprintf("a/%04d", i))
	}
	everything, err := c.Range(t.Context(), "")
	assert.NilError(t, err)
	assert.Equal(t, len(everything.Entries), entries+1)
}

// Guards against conditions that are not sent, or are sent inverted.
func TestCommitHonoursConditions(t *testing.T) {
	_, address := startServer(t)
	c := startClient(t, callTimeout, address)
	first, err := c.Commit(t.Context(), put("k", "1"))
	assert.NilError(t, err)
	assert.Assert(t, first.Committed)
	second, err := c.Commit(t.Context(), put("k", "2"))
	assert.NilError(t, err)
	assert.Assert(t, !second.Committed)
	e, err := c.Get(t.Context(), "k")
	assert.NilError(t, err)
	assert.Equal(t, string(e.Value), "1")
	assert.Equal(t, e.ModRevision, first.Revision)
	removed, err := c.Commit(t.Context(), backing.Txn{
		Conditions: []backing.Condition{{Key: "k", ModRevision: first.Revision}},
		Writes:     []backing.Write{{Key: "k", Delete: true}},
	})
	assert.NilError(t, err)
	assert.Assert(t, removed.Committed)
	e, err = c.Get(t.Context(), "k")
	assert.NilError(t, err)
	assert.Equal(t, e.ModRevision, int64(0))
}

// Guards against a call that does not report a lost lease to its holder, and against a renewal that leaves its stream open.
func TestLeaseCalls(t *testing.T) {
	_, address := startServer(t)
	c := startClient(t, callTimeout, address)
	_, err := c.Get(t.Context(), "opens the connection")
	assert.NilError(t, err)
	ignored := goleak.IgnoreCurrent()
	defer func() { goleak.VerifyNone(t, ignored) }()
	lease, err := c.GrantLease(t.Context(), time.Hour)
	assert.NilError(t, err)
	_, err = c.Commit(t.Context(), backing.Txn{Writes: []backing.Write{{Key: "own/x", Lease: lease}}})
	assert.NilError(t, err)
	assert.NilError(t, c.RenewLease(t.Context(), lease))
	assert.NilError(t, c.RevokeLease(t.Context(), lease))
	assert.Assert(t, backing.ErrLeaseNotFound.Has(c.RenewLease(t.Context(), lease)))
	assert.Assert(t, backing.ErrLeaseNotFound.Has(c.RevokeLease(t.Context(), lease)))
	_, err = c.Commit(t.Context(), backing.Txn{Writes: []backing.Write{{Key: "own/x", Lease: lease}}})
	assert.Assert(t, backing.ErrLeaseNotFound.Has(err), "%v", err)
	e, err := c.Get(t.Context(), "own/x")
	assert.NilError(t, err)
	assert.Equal(t, e.ModRevision, int64(0))
}

// Guards against a watch that misses events between the start revision and its creation, or leaks goroutines.
func TestWatchFollowsFromRevision(t *testing.T) {
	_, address := startServer(t)
	c := startClient(t, callTimeout, address)
	first, err := c.Commit(t.Context(), put("w/1", "1"))
	assert.NilError(t, err)
	ignored := goleak.IgnoreCurrent()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	batches, err := c.Watch(ctx, "w/", first.Revision)
	assert.NilError(t, err)
	_, err = c.Commit(t.Context(), put("other", "1"))
	assert.NilError(t, err)
	_, err = c.Commit(t.Context(), backing.Txn{Writes: []backing.Write{{Key: "w/1", Delete: true}}})
	assert.NilError(t, err)
	batch := <-batches
	assert.Equal(t, string(batch.Events[0].Entry.Value), "1")
	assert.Equal(t, batch.Revision, first.Revision)
	batch = <-batches
	assert.Assert(t, batch.Events[0].Deleted)
	assert.Equal(t, batch.Events[0].Entry.Key, "w/1")
	cancel()
	for batch := range batches {
		assert.NilError(t, batch.Err)
	}
	goleak.VerifyNone(t, ignored)
}

// Guards against reporting an unknown outcome for a write that was not sent, and against an address that is not tried.
func TestWriteToClosedPortHadNoEffect(t *testing.T) {
	closed := unusedAddress(t)
	c := startClient(t, callTimeout, closed)
	_, err := c.Commit(t.Context(), put("k", "1"))
	assert.Assert(t, backing.ErrUnavailable.Has(err), "%v", err)
	assert.Assert(t, backing.ErrUnavailable.Has(c.RenewLease(t.Context(), 1)))
	_, err = c.Get(t.Context(), "k")
	assert.Assert(t, backing.ErrUnavailable.Has(err), "%v", err)
	_, err = c.Watch(t.Context(), "k", 1)
	assert.Assert(t, backing.ErrUnavailable.Has(err), "%v", err)

	_, address := startServer(t)
	both := startClient(t, callTimeout, closed, address)
	for range 2 {
		_, err = both.Commit(t.Context(), put("k", "1"))
		assert.NilError(t, err)
	}
}

// Guards against reporting that a write had no effect when it may have been applied.
func TestLostAnswerIsUnknownOutcome(t *testing.T) {
	for name, afterTxn := range map[string]func(context.Context) error{
		"connection closed":  func(context.Context) error { panic(http.ErrAbortHandler) },
		"leader lost":        func(context.Context) error { return connect.NewError(connect.CodeUnavailable, nil) },
		"answer too large":   func(context.Context) error { return connect.NewError(connect.CodeResourceExhausted, nil) },
		"timeout":            func(ctx context.Context) error { <-ctx.Done(); return ctx.Err() },
		"internal error":     func(context.Context) error { return connect.NewError(connect.CodeInternal, nil) },
		"canceled by server": func(context.Context) error { return connect.NewError(connect.CodeCanceled, nil) },
	} {
		t.Run(name, func(t *testing.T) {
			s, address := startServer(t)
			s.afterTxn = afterTxn
			timeout := callTimeout
			if name == "timeout" {
				timeout = time.Second
			}
			c := startClient(t, timeout, address, unusedAddress(t))
			_, err := c.Commit(t.Context(), put("k", "1"))
			assert.Assert(t, backing.ErrUnknownOutcome.Has(err), "%v", err)
			assert.Assert(t, !backing.ErrUnavailable.Has(err), "%v", err)
		})
	}
}

// Guards against reporting an unknown outcome when the status proves that nothing was written.
func TestRefusedWriteHadNoEffect(t *testing.T) {
	for name, c := range map[string]struct {
		err  error
		want func(error) bool
	}{
		"too large":         {connect.NewError(connect.CodeInvalidArgument, nil), backing.ErrInvalid.Has},
		"not permitted":     {connect.NewError(connect.CodePermissionDenied, nil), backing.ErrUnavailable.Has},
		"out of space":      {connect.NewError(connect.CodeResourceExhausted, errorText(messageNoSpace)), backing.ErrUnavailable.Has},
		"too many requests": {connect.NewError(connect.CodeResourceExhausted, errorText(messageTooManyRequests)), backing.ErrUnavailable.Has},
	} {
		t.Run(name, func(t *testing.T) {
			s, address := startServer(t)
			s.afterTxn = func(context.Context) error { return c.err }
			_, err := startClient(t, callTimeout, address).Commit(t.Context(), put("k", "1"))
			assert.Assert(t, c.want(err), "%v", err)
		})
	}
}

// Guards against reporting an unknown outcome for a call that is canceled before it is sent.
func TestCanceledBeforeSending(t *testing.T) {
	_, address := startServer(t)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := startClient(t, callTimeout, address).Commit(ctx, put("k", "1"))
	assert.Assert(t, backing.ErrUnavailable.Has(err), "%v", err)
	assert.ErrorIs(t, err, context.Canceled)
}

type errorText string

func (e errorText) Error() string { return string(e) }

// Guards against calls, in particular over streams, that block forever on a server that accepts connections but never
// responds.
func TestStalledServer(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	c := startClient(t, 100*time.Millisecond, l.Addr().String())
	err = c.RenewLease(t.Context(), 1)
	assert.Assert(t, backing.ErrUnknownOutcome.Has(err), "%v", err)
	_, err = c.Watch(t.Context(), "k", 1)
	assert.Assert(t, backing.ErrUnavailable.Has(err), "%v", err)
	_, err = c.Get(t.Context(), "k")
	assert.Assert(t, backing.ErrUnavailable.Has(err), "%v", err)
}
