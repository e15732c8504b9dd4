package etcd

import (
	"context"
	"errors"
	"io"
	"time"

	"connectrpc.com/connect"

	"azuredyke.dev/azuredyke/backing"
	"azuredyke.dev/azuredyke/gen/etcdserverpb"
)

// GrantLease implements backing.KV. The API counts in seconds, so ttl is rounded up. ErrInvalid means that the service
// granted a shorter lease.
func (c *Client) GrantLease(ctx context.Context, ttl time.Duration) (backing.LeaseID, error) {
	seconds := int64((ttl + time.Second - 1) / time.Second)
	granted, err := write(ctx, c, func(ctx context.Context, e endpoint) (*etcdserverpb.LeaseGrantResponse, error) {
		response, err := e.lease.LeaseGrant(ctx, connect.NewRequest(&etcdserverpb.LeaseGrantRequest{TTL: seconds}))
		if err != nil {
			return nil, err
		}
		return response.Msg, nil
	})
	switch {
	case err != nil:
		return 0, err
	case granted.GetError() != "":
		return 0, backing.ErrUnavailable.New("lease refused: %s", granted.GetError())
	case granted.GetTTL() < seconds:
		return 0, backing.ErrInvalid.New("lease of %d s granted instead of %d s", granted.GetTTL(), seconds)
	}
	return backing.LeaseID(granted.GetID()), nil
}

// RenewLease implements backing.KV.
func (c *Client) RenewLease(ctx context.Context, id backing.LeaseID) error {
	renewed, err := write(ctx, c, func(ctx context.Context, e endpoint) (*etcdserverpb.LeaseKeepAliveResponse, error) {
		stream := e.lease.LeaseKeepAlive(ctx)
		closeRequestOnDone(ctx, stream)
		// If Send returns io.EOF, Receive returns the cause.
		err := stream.Send(&etcdserverpb.LeaseKeepAliveRequest{ID: int64(id)})
		if err != nil && !errors.Is(err, io.EOF) {
			return nil, err
		}
		return stream.Receive()
	})
	if err != nil {
		return err
	}
	if renewed.GetTTL() <= 0 {
		return backing.ErrLeaseNotFound.New("lease %d", id)
	}
	return nil
}

// RevokeLease implements backing.KV.
func (c *Client) RevokeLease(ctx context.Context, id backing.LeaseID) error {
	_, err := write(ctx, c, func(ctx context.Context, e endpoint) (struct{}, error) {
		_, err := e.lease.LeaseRevoke(ctx, connect.NewRequest(&etcdserverpb.LeaseRevokeRequest{ID: int64(id)}))
		return struct{}{}, err
	})
	return err
}
