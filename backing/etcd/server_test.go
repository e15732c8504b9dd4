package etcd

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	"azuredyke.dev/azuredyke/backing"
	"azuredyke.dev/azuredyke/backing/memory"
	"azuredyke.dev/azuredyke/gen/etcdserverpb"
	"azuredyke.dev/azuredyke/gen/etcdserverpb/etcdserverpbconnect"
	"azuredyke.dev/azuredyke/gen/mvccpb"
)

// testServer implements the subset of the API that the tests of this package need, on an in-memory store.
type testServer struct {
	etcdserverpbconnect.UnimplementedKVHandler
	etcdserverpbconnect.UnimplementedLeaseHandler
	kv *memory.KV
	// afterTxn is called after a transaction was applied. Its error replaces the response.
	afterTxn func(ctx context.Context) error
}

// callTimeout bounds the calls of tests that expect a response.
const callTimeout = 30 * time.Second

// startServer returns a server and its address.
func startServer(t *testing.T) (*testServer, string) {
	t.Helper()
	s := &testServer{kv: memory.NewKV()}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.kv.Run(ctx)
	}()
	mux := http.NewServeMux()
	mux.Handle(etcdserverpbconnect.NewKVHandler(s))
	mux.Handle(etcdserverpbconnect.NewWatchHandler(s))
	mux.Handle(etcdserverpbconnect.NewLeaseHandler(s))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	protocols := &http.Protocols{}
	protocols.SetUnencryptedHTTP2(true)
	server := &http.Server{Handler: mux, Protocols: protocols}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() {
		_ = server.Close()
		cancel()
		<-done
	})
	return s, listener.Addr().String()
}

func startClient(t *testing.T, timeout time.Duration, addresses ...string) *Client {
	t.Helper()
	c := New(addresses, timeout, nil)
	t.Cleanup(c.Close)
	return c
}

func (s *testServer) Range(ctx context.Context, r *connect.Request[etcdserverpb.RangeRequest]) (*connect.Response[etcdserverpb.RangeResponse], error) {
	all, err := s.kv.Range(ctx, "")
	if err != nil {
		return nil, err
	}
	response := &etcdserverpb.RangeResponse{Header: &etcdserverpb.ResponseHeader{Revision: all.Revision}}
	for _, e := range all.Entries {
		end := string(r.Msg.GetRangeEnd())
		inside := e.Key == string(r.Msg.GetKey())
		if end != "" {
			inside = e.Key >= string(r.Msg.GetKey()) && (end == "\x00" || e.Key < end)
		}
		if !inside {
			continue
		}
		if limit := r.Msg.GetLimit(); limit > 0 && int64(len(response.Kvs)) == limit {
			response.More = true
			break
		}
		response.Kvs = append(response.Kvs, keyValue(e))
	}
	return connect.NewResponse(response), nil
}

func (s *testServer) Txn(ctx context.Context, r *connect.Request[etcdserverpb.TxnRequest]) (*connect.Response[etcdserverpb.TxnResponse], error) {
	var txn backing.Txn
	for _, c := range r.Msg.GetCompare() {
		txn.Conditions = append(txn.Conditions, backing.Condition{Key: string(c.GetKey()), ModRevision: c.GetModRevision()})
	}
	for _, op := range r.Msg.GetSuccess() {
		if put := op.GetRequestPut(); put != nil {
			txn.Writes = append(txn.Writes, backing.Write{
				Key: string(put.GetKey()), Value: put.GetValue(), Lease: backing.LeaseID(put.GetLease()),
			})
		} else {
			txn.Writes = append(txn.Writes, backing.Write{Key: string(op.GetRequestDeleteRange().GetKey()), Delete: true})
		}
	}
	result, err := s.kv.Commit(ctx, txn)
	if backing.ErrLeaseNotFound.Has(err) {
		return nil, connect.NewError(connect.CodeNotFound, err)
	}
	if s.afterTxn != nil {
		if err := s.afterTxn(ctx); err != nil {
			return nil, err
		}
	}
	return connect.NewResponse(&etcdserverpb.TxnResponse{
		Header: &etcdserverpb.ResponseHeader{Revision: result.Revision}, Succeeded: result.Committed,
	}), err
}

func (s *testServer) LeaseGrant(ctx context.Context, r *connect.Request[etcdserverpb.LeaseGrantRequest]) (*connect.Response[etcdserverpb.LeaseGrantResponse], error) {
	id, err := s.kv.GrantLease(ctx, time.Duration(r.Msg.GetTTL())*time.Second)
	return connect.NewResponse(&etcdserverpb.LeaseGrantResponse{ID: int64(id), TTL: r.Msg.GetTTL()}), err
}

func (s *testServer) LeaseRevoke(ctx context.Context, r *connect.Request[etcdserverpb.LeaseRevokeRequest]) (*connect.Response[etcdserverpb.LeaseRevokeResponse], error) {
	if err := s.kv.RevokeLease(ctx, backing.LeaseID(r.Msg.GetID())); err != nil {
		return nil, connect.NewError(connect.CodeNotFound, err)
	}
	return connect.NewResponse(&etcdserverpb.LeaseRevokeResponse{}), nil
}

func (s *testServer) LeaseKeepAlive(ctx context.Context, stream *connect.BidiStream[etcdserverpb.LeaseKeepAliveRequest, etcdserverpb.LeaseKeepAliveResponse]) error {
	r, err := stream.Receive()
	if err != nil {
		return err
	}
	response := &etcdserverpb.LeaseKeepAliveResponse{ID: r.GetID(), TTL: 1}
	if err := s.kv.RenewLease(ctx, backing.LeaseID(r.GetID())); err != nil {
		response.TTL = 0
	}
	return stream.Send(response)
}

func (s *testServer) Watch(ctx context.Context, stream *connect.BidiStream[etcdserverpb.WatchRequest, etcdserverpb.WatchResponse]) error {
	r, err := stream.Receive()
	if err != nil {
		return err
	}
	create := r.GetCreateRequest()
	batches, err := s.kv.Watch(ctx, string(create.GetKey()), create.GetStartRevision())
	if err != nil {
		return stream.Send(&etcdserverpb.WatchResponse{Created: true, Canceled: true, CompactRevision: 1})
	}
	if err := stream.Send(&etcdserverpb.WatchResponse{Created: true}); err != nil {
		return err
	}
	for batch := range batches {
		response := &etcdserverpb.WatchResponse{}
		for _, e := range batch.Events {
			event := &mvccpb.Event{Kv: keyValue(e.Entry)}
			if e.Deleted {
				event.Type = mvccpb.Event_DELETE
			}
			response.Events = append(response.Events, event)
		}
		if err := stream.Send(response); err != nil {
			return err
		}
	}
	return nil
}

func keyValue(e backing.Entry) *mvccpb.KeyValue {
	return &mvccpb.KeyValue{
		Key: []byte(e.Key), Value: e.Value, CreateRevision: e.CreateRevision, ModRevision: e.ModRevision, Lease: int64(e.Lease),
	}
}
