package etcd

import (
	"context"

	"connectrpc.com/connect"

	"azuredyke.dev/azuredyke/backing"
	"azuredyke.dev/azuredyke/gen/etcdserverpb"
)

// Commit implements backing.KV.
func (c *Client) Commit(ctx context.Context, txn backing.Txn) (backing.CommitResult, error) {
	request := txnRequest(txn)
	return write(ctx, c, func(ctx context.Context, e endpoint) (backing.CommitResult, error) {
		response, err := e.kv.Txn(ctx, connect.NewRequest(request))
		if err != nil {
			return backing.CommitResult{}, err
		}
		return backing.CommitResult{
			Committed: response.Msg.GetSucceeded(), Revision: response.Msg.GetHeader().GetRevision(),
		}, nil
	})
}

func txnRequest(txn backing.Txn) *etcdserverpb.TxnRequest {
	request := &etcdserverpb.TxnRequest{}
	for _, condition := range txn.Conditions {
		request.Compare = append(request.Compare, &etcdserverpb.Compare{
			Result: etcdserverpb.Compare_EQUAL, Target: etcdserverpb.Compare_MOD, Key: []byte(condition.Key),
			TargetUnion: &etcdserverpb.Compare_ModRevision{ModRevision: condition.ModRevision},
		})
	}
	for _, w := range txn.Writes {
		request.Success = append(request.Success, requestOp(w))
	}
	return request
}

func requestOp(w backing.Write) *etcdserverpb.RequestOp {
	if w.Delete {
		return &etcdserverpb.RequestOp{Request: &etcdserverpb.RequestOp_RequestDeleteRange{
			RequestDeleteRange: &etcdserverpb.DeleteRangeRequest{Key: []byte(w.Key)},
		}}
	}
	return &etcdserverpb.RequestOp{Request: &etcdserverpb.RequestOp_RequestPut{
		RequestPut: &etcdserverpb.PutRequest{Key: []byte(w.Key), Value: w.Value, Lease: int64(w.Lease)},
	}}
}
