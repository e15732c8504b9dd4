package kvserver

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	"azuredyke.dev/azuredyke/gen/etcdserverpb"
	"azuredyke.dev/azuredyke/gen/etcdserverpb/etcdserverpbconnect"
)

// callTimeout bounds each call of the tests, so that a fault does not block them.
const callTimeout = 10 * time.Second

// testServer is a running server with its gRPC clients.
type testServer struct {
	t      *testing.T
	server *Server
	kv     etcdserverpbconnect.KVClient
	lease  etcdserverpbconnect.LeaseClient
	watch  etcdserverpbconnect.WatchClient
}

// start starts a server with unencrypted HTTP/2 on a loopback address, which runs until the test ends.
func start(t *testing.T, o Options) testServer {
	t.Helper()
	s := NewServer(o)
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { s.Run(ctx) })
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	httpServer := httptest.NewUnstartedServer(s)
	httpServer.Config.Protocols = protocols
	httpServer.Start()
	transport := &http.Transport{Protocols: protocols}
	client := &http.Client{Transport: transport}
	t.Cleanup(func() {
		cancel()
		running.Wait()
		transport.CloseIdleConnections()
		httpServer.CloseClientConnections()
		httpServer.Close()
	})
	return testServer{
		t: t, server: s, kv: etcdserverpbconnect.NewKVClient(client, httpServer.URL, connect.WithGRPC()),
		lease: etcdserverpbconnect.NewLeaseClient(client, httpServer.URL, connect.WithGRPC()),
		watch: etcdserverpbconnect.NewWatchClient(client, httpServer.URL, connect.WithGRPC()),
	}
}

func putOp(key, value string, lease int64) *etcdserverpb.RequestOp {
	return &etcdserverpb.RequestOp{Request: &etcdserverpb.RequestOp_RequestPut{
		RequestPut: &etcdserverpb.PutRequest{Key: []byte(key), Value: []byte(value), Lease: lease},
	}}
}

// create writes a key if it does not exist, and reads it otherwise.
func (s testServer) create(key, value string, lease int64) (*etcdserverpb.TxnResponse, error) {
	ctx, cancel := context.WithTimeout(s.t.Context(), callTimeout)
	defer cancel()
	response, err := s.kv.Txn(ctx, connect.NewRequest(&etcdserverpb.TxnRequest{
		Compare: []*etcdserverpb.Compare{{
			Target: etcdserverpb.Compare_CREATE, Key: []byte(key), TargetUnion: &etcdserverpb.Compare_CreateRevision{},
		}},
		Success: []*etcdserverpb.RequestOp{putOp(key, value, lease)},
		Failure: []*etcdserverpb.RequestOp{{Request: &etcdserverpb.RequestOp_RequestRange{
			RequestRange: &etcdserverpb.RangeRequest{Key: []byte(key)},
		}}},
	}))
	if err != nil {
		return nil, err
	}
	return response.Msg, nil
}

// read returns the entries from key to end, end excluded; an empty end selects only key.
func (s testServer) read(key, end string) (*etcdserverpb.RangeResponse, error) {
	ctx, cancel := context.WithTimeout(s.t.Context(), callTimeout)
	defer cancel()
	response, err := s.kv.Range(ctx, connect.NewRequest(&etcdserverpb.RangeRequest{Key: []byte(key), RangeEnd: []byte(end)}))
	if err != nil {
		return nil, err
	}
	return response.Msg, nil
}

func (s testServer) grantLease(seconds int64) int64 {
	response, err := s.lease.LeaseGrant(s.t.Context(), connect.NewRequest(&etcdserverpb.LeaseGrantRequest{TTL: seconds}))
	assert.NilError(s.t, err)
	return response.Msg.GetID()
}

// openWatch opens a watch and waits for its confirmation.
func (s testServer) openWatch(
	ctx context.Context, key, end string, from int64,
) *connect.BidiStreamForClient[etcdserverpb.WatchRequest, etcdserverpb.WatchResponse] {
	stream := s.watch.Watch(ctx)
	assert.NilError(s.t, stream.Send(&etcdserverpb.WatchRequest{RequestUnion: &etcdserverpb.WatchRequest_CreateRequest{
		CreateRequest: &etcdserverpb.WatchCreateRequest{Key: []byte(key), RangeEnd: []byte(end), StartRevision: from},
	}}))
	created, err := stream.Receive()
	assert.NilError(s.t, err)
	assert.Assert(s.t, created.GetCreated())
	return stream
}

// Guards against a transaction that writes although a comparison fails, or that does not return the current value.
func TestTxnComparesAndSwaps(t *testing.T) {
	s := start(t, Options{})
	first, err := s.create("a", "1", 0)
	assert.NilError(t, err)
	assert.Assert(t, first.GetSucceeded())
	second, err := s.create("a", "2", 0)
	assert.NilError(t, err)
	assert.Assert(t, !second.GetSucceeded())
	kv := second.GetResponses()[0].GetResponseRange().GetKvs()[0]
	assert.Equal(t, string(kv.GetValue()), "1")
	assert.Equal(t, kv.GetModRevision(), first.GetHeader().GetRevision())
	assert.Equal(t, kv.GetVersion(), int64(1))
}

// Guards against ranges that return keys outside their bounds, and against limits that are ignored.
func TestRange(t *testing.T) {
	s := start(t, Options{})
	for _, key := range []string{"a/2", "a/1", "a0", "b"} {
		_, err := s.create(key, key, 0)
		assert.NilError(t, err)
	}
	for _, tc := range []struct {
		key, end string
		count    int
	}{{"a/", "a0", 2}, {"a/1", "", 1}, {"a0", "\x00", 2}, {"\x00", "\x00", 4}, {"c", "", 0}} {
		r, err := s.read(tc.key, tc.end)
		assert.NilError(t, err)
		assert.Equal(t, len(r.GetKvs()), tc.count, "%q to %q", tc.key, tc.end)
	}
	r, err := s.kv.Range(t.Context(), connect.NewRequest(&etcdserverpb.RangeRequest{
		Key: []byte("a"), RangeEnd: []byte("\x00"), Limit: 1, SortOrder: etcdserverpb.RangeRequest_DESCEND, KeysOnly: true,
	}))
	assert.NilError(t, err)
	assert.Equal(t, string(r.Msg.GetKvs()[0].GetKey()), "b")
	assert.Equal(t, len(r.Msg.GetKvs()[0].GetValue()), 0)
	assert.Assert(t, r.Msg.GetMore())
	assert.Equal(t, r.Msg.GetCount(), int64(4))
}

// Guards against watches that omit past events, send events outside their range or before their start revision, or omit
// the expiry of a lease.
func TestWatchSendsPastEventsAndExpiry(t *testing.T) {
	s := start(t, Options{})
	first, err := s.create("w/1", "1", 0)
	assert.NilError(t, err)
	_, err = s.create("w/2", "2", s.grantLease(1))
	assert.NilError(t, err)
	ctx, cancel := context.WithTimeout(t.Context(), callTimeout)
	defer cancel()
	stream := s.openWatch(ctx, "w/", "w0", first.GetHeader().GetRevision()+1)
	_, err = s.create("other", "", 0)
	assert.NilError(t, err)
	put, err := stream.Receive()
	assert.NilError(t, err)
	assert.Equal(t, string(put.GetEvents()[0].GetKv().GetKey()), "w/2")
	expired, err := stream.Receive()
	assert.NilError(t, err)
	assert.Equal(t, expired.GetEvents()[0].GetType().String(), "DELETE")
	assert.Equal(t, s.server.Counters().OpenWatches, 1)
}

// Guards against a live lease that cannot be renewed, and against an expired lease that can still be used.
func TestLeaseKeepAlive(t *testing.T) {
	s := start(t, Options{})
	id := s.grantLease(60)
	ctx, cancel := context.WithTimeout(t.Context(), callTimeout)
	defer cancel()
	stream := s.lease.LeaseKeepAlive(ctx)
	for _, want := range []int64{60, 0} {
		assert.NilError(t, stream.Send(&etcdserverpb.LeaseKeepAliveRequest{ID: id}))
		r, err := stream.Receive()
		assert.NilError(t, err)
		assert.Equal(t, r.GetTTL(), want)
		s.server.ExpireLeases()
	}
	_, err := s.create("k", "", id)
	assert.Equal(t, connect.CodeOf(err), connect.CodeNotFound)
	_, err = s.lease.LeaseRevoke(ctx, connect.NewRequest(&etcdserverpb.LeaseRevokeRequest{ID: id}))
	assert.Equal(t, connect.CodeOf(err), connect.CodeNotFound)
}

// Guards against a write that is not applied when its answer is lost.
func TestLostAnswerTookEffect(t *testing.T) {
	s := start(t, Options{})
	s.server.LoseAnswers(1, AnswerLossReset)
	_, err := s.create("a", "1", 0)
	assert.Assert(t, err != nil)
	again, err := s.create("a", "1", 0)
	assert.NilError(t, err)
	assert.Assert(t, !again.GetSucceeded(), "the first write must have taken effect")
	s.server.LoseAnswers(1, AnswerLossNoReply)
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	_, err = s.kv.Put(ctx, connect.NewRequest(&etcdserverpb.PutRequest{Key: []byte("b"), Value: []byte("1")}))
	assert.Equal(t, connect.CodeOf(err), connect.CodeDeadlineExceeded)
	assert.Equal(t, len(s.server.Entries("b")), 1)
}

// Guards against calls or watches that are served during an outage, and against leases that expire during it.
func TestOutage(t *testing.T) {
	s := start(t, Options{})
	_, err := s.create("a", "1", s.grantLease(1))
	assert.NilError(t, err)
	ctx, cancel := context.WithTimeout(t.Context(), callTimeout)
	defer cancel()
	stream := s.openWatch(ctx, "a", "", 0)
	s.server.SetOutage(OutageRefuse)
	_, err = stream.Receive()
	assert.Equal(t, connect.CodeOf(err), connect.CodeUnavailable)
	_, err = s.read("a", "")
	assert.Equal(t, connect.CodeOf(err), connect.CodeUnavailable)
	s.server.SetOutage(OutageHang)
	short, stop := context.WithTimeout(t.Context(), 1500*time.Millisecond)
	defer stop()
	_, err = s.kv.Range(short, connect.NewRequest(&etcdserverpb.RangeRequest{Key: []byte("a")}))
	assert.Equal(t, connect.CodeOf(err), connect.CodeDeadlineExceeded)
	s.server.SetOutage(OutageNone)
	r, err := s.read("a", "")
	assert.NilError(t, err)
	assert.Equal(t, len(r.GetKvs()), 1)
	assert.Equal(t, s.server.Counters().RefusedByOutage, int64(2))
}

// Guards against rate limits that are not enforced, and against open watches that do not count towards the read limit.
func TestRates(t *testing.T) {
	s := start(t, Options{WritesPerSecond: 0.1, ReadsPerSecond: 1, MaxWait: time.Millisecond})
	_, err := s.create("a", "1", 0)
	assert.NilError(t, err)
	_, err = s.create("b", "1", 0)
	assert.Equal(t, connect.CodeOf(err), connect.CodeResourceExhausted)
	ctx, cancel := context.WithTimeout(t.Context(), callTimeout)
	defer cancel()
	s.openWatch(ctx, "a", "", 0)
	time.Sleep(2 * time.Second)
	_, err = s.read("a", "")
	assert.Equal(t, connect.CodeOf(err), connect.CodeResourceExhausted)
	c := s.server.Counters()
	assert.Equal(t, c.Refused, int64(2))
	assert.Equal(t, c.Calls[CallTxn], int64(1))
	assert.Equal(t, c.Calls[CallWatch], int64(1))
}

// Guards against a restored store that retains newer keys or revisions.
func TestRestore(t *testing.T) {
	s := start(t, Options{})
	first, err := s.create("a", "1", 0)
	assert.NilError(t, err)
	saved := s.server.Snapshot()
	_, err = s.create("b", "1", 0)
	assert.NilError(t, err)
	s.server.Restore(saved)
	r, err := s.read("\x00", "\x00")
	assert.NilError(t, err)
	assert.Equal(t, len(r.GetKvs()), 1)
	assert.Equal(t, r.GetHeader().GetRevision(), first.GetHeader().GetRevision())
}

// Guards against invalid transactions that etcd refuses but the fake server accepts.
func TestInvalidTxnIsRefused(t *testing.T) {
	s := start(t, Options{})
	for name, ops := range map[string][]*etcdserverpb.RequestOp{
		"duplicate key": {putOp("a", "", 0), putOp("a", "", 0)},
		"empty key":     {putOp("", "", 0)},
		"too many":      make([]*etcdserverpb.RequestOp, 129),
		"too large":     {putOp("a", string(make([]byte, 1600<<10)), 0)},
	} {
		for i := range ops {
			if ops[i] == nil {
				ops[i] = putOp(string(rune('a'+i)), "", 0)
			}
		}
		_, err := s.kv.Txn(t.Context(), connect.NewRequest(&etcdserverpb.TxnRequest{Success: ops}))
		assert.Assert(t, err != nil, name)
		assert.Equal(t, len(s.server.Entries("")), 0, name)
	}
}
