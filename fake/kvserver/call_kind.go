package kvserver

// CallKind is a kind of call.
type CallKind string

// Kinds of calls. A Txn without writes counts as a read.
const (
	CallRange          CallKind = "range"
	CallTxn            CallKind = "txn"
	CallPut            CallKind = "put"
	CallDeleteRange    CallKind = "delete_range"
	CallLeaseGrant     CallKind = "lease_grant"
	CallLeaseRevoke    CallKind = "lease_revoke"
	CallLeaseKeepAlive CallKind = "lease_keep_alive"
	CallWatch          CallKind = "watch"
)
