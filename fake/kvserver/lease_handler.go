package kvserver

import (
	"context"
	"errors"
	"io"

	"connectrpc.com/connect"

	"azuredyke.dev/azuredyke/common/mailbox"
	"azuredyke.dev/azuredyke/gen/etcdserverpb"
)

// leaseHandler serves the Lease service.
type leaseHandler struct {
	server *Server
}

// call admits a lease call and sends it to the task.
func (h leaseHandler) call(ctx context.Context, kind CallKind, op leaseOp) (leaseReply, error) {
	if err := h.server.admit(ctx, kind, true); err != nil {
		return leaseReply{}, err
	}
	result, err := mailbox.Call(ctx, h.server.inbox, func(reply chan<- leaseReply) message {
		op.reply = reply
		return leaseMessage{kind: kind, leaseOp: op}
	})
	if err != nil {
		return leaseReply{}, errUnavailable
	}
	applyLoss(ctx, result.loss)
	return result, result.err
}

// LeaseGrant implements etcdserverpbconnect.LeaseHandler.
func (h leaseHandler) LeaseGrant(
	ctx context.Context, req *connect.Request[etcdserverpb.LeaseGrantRequest],
) (*connect.Response[etcdserverpb.LeaseGrantResponse], error) {
	if req.Msg.GetID() != 0 {
		return nil, errUnimplemented
	}
	r, err := h.call(ctx, CallLeaseGrant, leaseOp{ttl: req.Msg.GetTTL()})
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&etcdserverpb.LeaseGrantResponse{Header: r.header, ID: r.id, TTL: r.ttl}), nil
}

// LeaseRevoke implements etcdserverpbconnect.LeaseHandler.
func (h leaseHandler) LeaseRevoke(
	ctx context.Context, req *connect.Request[etcdserverpb.LeaseRevokeRequest],
) (*connect.Response[etcdserverpb.LeaseRevokeResponse], error) {
	r, err := h.call(ctx, CallLeaseRevoke, leaseOp{id: req.Msg.GetID()})
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&etcdserverpb.LeaseRevokeResponse{Header: r.header}), nil
}

// LeaseKeepAlive implements etcdserverpbconnect.LeaseHandler. The answer for a lease that does not exist has TTL 0.
func (h leaseHandler) LeaseKeepAlive(
	ctx context.Context, stream *connect.BidiStream[etcdserverpb.LeaseKeepAliveRequest, etcdserverpb.LeaseKeepAliveResponse],
) error {
	for {
		req, err := stream.Receive()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		r, err := h.call(ctx, CallLeaseKeepAlive, leaseOp{id: req.GetID()})
		if err != nil {
			return err
		}
		err = stream.Send(&etcdserverpb.LeaseKeepAliveResponse{Header: r.header, ID: req.GetID(), TTL: r.ttl})
		if err != nil {
			return err
		}
	}
}
