package kvserver

import (
	"bytes"
	"cmp"

	"azuredyke.dev/azuredyke/gen/etcdserverpb"
)

// compareHolds evaluates one comparison. For a key that does not exist, version, revisions and lease are 0, and no
// comparison of the value holds.
func (t *task) compareHolds(c *etcdserverpb.Compare) bool {
	key := string(c.GetKey())
	e := t.store.Get(key)
	var order int
	switch c.GetTarget() {
	case etcdserverpb.Compare_VERSION:
		order = cmp.Compare(t.store.Version(key), c.GetVersion())
	case etcdserverpb.Compare_CREATE:
		order = cmp.Compare(e.CreateRevision, c.GetCreateRevision())
	case etcdserverpb.Compare_MOD:
		order = cmp.Compare(e.ModRevision, c.GetModRevision())
	case etcdserverpb.Compare_LEASE:
		order = cmp.Compare(int64(e.Lease), c.GetLease())
	default:
		if e.ModRevision == 0 {
			return false
		}
		order = bytes.Compare(e.Value, c.GetValue())
	}
	switch c.GetResult() {
	case etcdserverpb.Compare_GREATER:
		return order > 0
	case etcdserverpb.Compare_LESS:
		return order < 0
	case etcdserverpb.Compare_NOT_EQUAL:
		return order != 0
	default:
		return order == 0
	}
}
