package kvserver

import (
	"context"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"azuredyke.dev/azuredyke/common/mailbox"
	"azuredyke.dev/azuredyke/gen/etcdserverpb"
)

// kvHandler serves the KV service.
type kvHandler struct {
	server *Server
}

// Range implements etcdserverpbconnect.KVHandler.
func (h kvHandler) Range(
	ctx context.Context, req *connect.Request[etcdserverpb.RangeRequest],
) (*connect.Response[etcdserverpb.RangeResponse], error) {
	response, err := h.runOperation(ctx, CallRange, &etcdserverpb.RequestOp{
		Request: &etcdserverpb.RequestOp_RequestRange{RequestRange: req.Msg},
	})
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(response.GetResponseRange()), nil
}

// Put implements etcdserverpbconnect.KVHandler.
func (h kvHandler) Put(
	ctx context.Context, req *connect.Request[etcdserverpb.PutRequest],
) (*connect.Response[etcdserverpb.PutResponse], error) {
	response, err := h.runOperation(ctx, CallPut, &etcdserverpb.RequestOp{
		Request: &etcdserverpb.RequestOp_RequestPut{RequestPut: req.Msg},
	})
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(response.GetResponsePut()), nil
}

// DeleteRange implements etcdserverpbconnect.KVHandler.
func (h kvHandler) DeleteRange(
	ctx context.Context, req *connect.Request[etcdserverpb.DeleteRangeRequest],
) (*connect.Response[etcdserverpb.DeleteRangeResponse], error) {
	response, err := h.runOperation(ctx, CallDeleteRange, &etcdserverpb.RequestOp{
		Request: &etcdserverpb.RequestOp_RequestDeleteRange{RequestDeleteRange: req.Msg},
	})
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(response.GetResponseDeleteRange()), nil
}

// Txn implements etcdserverpbconnect.KVHandler.
func (h kvHandler) Txn(
	ctx context.Context, req *connect.Request[etcdserverpb.TxnRequest],
) (*connect.Response[etcdserverpb.TxnResponse], error) {
	response, err := h.runTxn(ctx, CallTxn, req.Msg)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(response), nil
}

// runOperation runs a single operation as a transaction without comparisons.
func (h kvHandler) runOperation(
	ctx context.Context, kind CallKind, op *etcdserverpb.RequestOp,
) (*etcdserverpb.ResponseOp, error) {
	response, err := h.runTxn(ctx, kind, &etcdserverpb.TxnRequest{Success: []*etcdserverpb.RequestOp{op}})
	if err != nil {
		return nil, err
	}
	return response.GetResponses()[0], nil
}

// runTxn checks, admits and applies a transaction.
func (h kvHandler) runTxn(
	ctx context.Context, kind CallKind, txn *etcdserverpb.TxnRequest,
) (*etcdserverpb.TxnResponse, error) {
	if err := checkTxn(txn, h.server.options); err != nil {
		return nil, err
	}
	if err := h.server.admit(ctx, kind, mayWrite(txn)); err != nil {
		return nil, err
	}
	result, err := mailbox.Call(ctx, h.server.inbox, func(reply chan<- txnReply) message {
		return txnMessage{txn: txn, reply: reply}
	})
	if err != nil {
		return nil, errUnavailable
	}
	applyLoss(ctx, result.loss)
	return result.response, result.err
}

// mayWrite reports whether either branch of a transaction contains a put or a deletion.
func mayWrite(txn *etcdserverpb.TxnRequest) bool {
	for _, list := range [][]*etcdserverpb.RequestOp{txn.GetSuccess(), txn.GetFailure()} {
		for _, op := range list {
			if op.GetRequestPut() != nil || op.GetRequestDeleteRange() != nil {
				return true
			}
		}
	}
	return false
}

// checkTxn returns the error with which etcd refuses an invalid transaction, or nil.
func checkTxn(txn *etcdserverpb.TxnRequest, o Options) error {
	if proto.Size(txn) > o.MaxRequestBytes {
		return errTooLarge
	}
	if max(len(txn.GetCompare()), len(txn.GetSuccess()), len(txn.GetFailure())) > o.MaxOperations {
		return errTooManyOps
	}
	for _, c := range txn.GetCompare() {
		if len(c.GetKey()) == 0 {
			return errEmptyKey
		}
	}
	for _, list := range [][]*etcdserverpb.RequestOp{txn.GetSuccess(), txn.GetFailure()} {
		put := map[string]struct{}{}
		for _, op := range list {
			key, err := operationKey(op)
			if err != nil {
				return err
			}
			if _, twice := put[key]; twice && op.GetRequestPut() != nil {
				return errDuplicateKey
			}
			if op.GetRequestPut() != nil {
				put[key] = struct{}{}
			}
		}
	}
	return nil
}

// operationKey returns the key of an operation, or errEmptyKey.
func operationKey(op *etcdserverpb.RequestOp) (string, error) {
	var key []byte
	switch {
	case op.GetRequestRange() != nil:
		key = op.GetRequestRange().GetKey()
	case op.GetRequestPut() != nil:
		key = op.GetRequestPut().GetKey()
	case op.GetRequestDeleteRange() != nil:
		key = op.GetRequestDeleteRange().GetKey()
	}
	if len(key) == 0 {
		return "", errEmptyKey
	}
	return string(key), nil
}
