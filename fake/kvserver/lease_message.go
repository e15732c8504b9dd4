package kvserver

import (
	"time"

	"azuredyke.dev/azuredyke/backing"
	"azuredyke.dev/azuredyke/gen/etcdserverpb"
)

// leaseMessage grants, renews or revokes a lease.
type leaseMessage struct {
	kind CallKind
	leaseOp
}

// leaseOp holds the arguments of a lease call.
type leaseOp struct {
	id int64
	// ttl is in seconds.
	ttl   int64
	reply chan<- leaseReply
}

// leaseReply is the reply to leaseMessage.
type leaseReply struct {
	header *etcdserverpb.ResponseHeader
	id     int64
	// ttl is in seconds; it is 0 if the lease to renew does not exist.
	ttl  int64
	err  error
	loss AnswerLoss
}

func (m leaseMessage) handle(t *task) {
	now := time.Now()
	r := leaseReply{id: m.id, ttl: m.ttl}
	switch m.kind {
	case CallLeaseGrant:
		r.id = int64(t.store.GrantLease(now, time.Duration(m.ttl)*time.Second))
	case CallLeaseRevoke:
		batch, err := t.store.RevokeLease(backing.LeaseID(m.id))
		if err != nil {
			r.err = errLeaseNotFound
		}
		t.publish(batch)
	default:
		ttl, err := t.store.RenewLease(now, backing.LeaseID(m.id))
		if err == nil {
			r.ttl = int64(ttl / time.Second)
		}
	}
	r.header = t.header()
	if r.err == nil {
		r.loss = t.takeLoss()
	}
	m.reply <- r
}
