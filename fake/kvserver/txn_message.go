package kvserver

import (
	"azuredyke.dev/azuredyke/backing"
	"azuredyke.dev/azuredyke/gen/etcdserverpb"
)

// txnMessage applies a transaction that has passed checkTxn.
type txnMessage struct {
	txn   *etcdserverpb.TxnRequest
	reply chan<- txnReply
}

// txnReply is the reply to txnMessage.
type txnReply struct {
	response *etcdserverpb.TxnResponse
	err      error
	loss     AnswerLoss
}

func (m txnMessage) handle(t *task) {
	response, err := t.apply(m.txn)
	reply := txnReply{response: response, err: err}
	if err == nil && mayWrite(m.txn) {
		reply.loss = t.takeLoss()
	}
	m.reply <- reply
}

// apply evaluates the comparisons and runs the operations of the matching branch. All writes of a transaction have the
// same revision.
func (t *task) apply(txn *etcdserverpb.TxnRequest) (*etcdserverpb.TxnResponse, error) {
	response := &etcdserverpb.TxnResponse{Succeeded: true}
	for _, c := range txn.GetCompare() {
		response.Succeeded = response.Succeeded && t.compareHolds(c)
	}
	ops := txn.GetSuccess()
	if !response.Succeeded {
		ops = txn.GetFailure()
	}
	response.Responses = make([]*etcdserverpb.ResponseOp, len(ops))
	var changes []backing.Write
	for i, op := range ops {
		switch {
		case op.GetRequestPut() != nil:
			put := op.GetRequestPut()
			changes = append(changes, backing.Write{
				Key: string(put.GetKey()), Value: put.GetValue(), Lease: backing.LeaseID(put.GetLease()),
			})
		case op.GetRequestDeleteRange() != nil:
			for _, e := range t.scan(op.GetRequestDeleteRange().GetKey(), op.GetRequestDeleteRange().GetRangeEnd()) {
				changes = append(changes, backing.Write{Key: e.Key, Delete: true})
			}
		}
		// Puts, deletions and ranges before the first write are answered with the state before the commit. A range after a
		// write is answered after the commit, to include the preceding writes; it includes the following ones, too.
		if len(changes) == 0 || op.GetRequestRange() == nil {
			response.Responses[i] = t.respond(op)
		}
	}
	_, batch, err := t.store.Commit(backing.Txn{Writes: changes})
	if err != nil {
		return nil, errLeaseNotFound
	}
	t.publish(batch)
	for i, op := range ops {
		if response.Responses[i] == nil {
			response.Responses[i] = t.respond(op)
		}
		setHeader(response.Responses[i], t.header())
	}
	response.Header = t.header()
	return response, nil
}

// respond returns the response to one operation, computed from the current state.
func (t *task) respond(op *etcdserverpb.RequestOp) *etcdserverpb.ResponseOp {
	switch {
	case op.GetRequestRange() != nil:
		return &etcdserverpb.ResponseOp{Response: &etcdserverpb.ResponseOp_ResponseRange{
			ResponseRange: t.answerRange(op.GetRequestRange()),
		}}
	case op.GetRequestPut() != nil:
		response := &etcdserverpb.PutResponse{}
		if old := t.scan(op.GetRequestPut().GetKey(), nil); op.GetRequestPut().GetPrevKv() && len(old) > 0 {
			response.PrevKv = t.keyValue(old[0])
		}
		return &etcdserverpb.ResponseOp{Response: &etcdserverpb.ResponseOp_ResponsePut{ResponsePut: response}}
	default:
		request := op.GetRequestDeleteRange()
		old := t.scan(request.GetKey(), request.GetRangeEnd())
		response := &etcdserverpb.DeleteRangeResponse{Deleted: int64(len(old))}
		if request.GetPrevKv() {
			for _, e := range old {
				response.PrevKvs = append(response.PrevKvs, t.keyValue(e))
			}
		}
		return &etcdserverpb.ResponseOp{Response: &etcdserverpb.ResponseOp_ResponseDeleteRange{ResponseDeleteRange: response}}
	}
}

// setHeader sets the header of an operation's response.
func setHeader(op *etcdserverpb.ResponseOp, header *etcdserverpb.ResponseHeader) {
	switch {
	case op.GetResponseRange() != nil:
		op.GetResponseRange().Header = header
	case op.GetResponsePut() != nil:
		op.GetResponsePut().Header = header
	default:
		op.GetResponseDeleteRange().Header = header
	}
}
