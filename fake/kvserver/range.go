package kvserver

import (
	"bytes"
	"cmp"
	"slices"
	"strings"

	"azuredyke.dev/azuredyke/backing"
	"azuredyke.dev/azuredyke/gen/etcdserverpb"
	"azuredyke.dev/azuredyke/gen/mvccpb"
)

// scan returns the entries of a range, given as in the etcd API.
func (t *task) scan(key, end []byte) []backing.Entry { return t.store.Scan(string(key), string(end)) }

// answerRange answers a range request. It ignores the requested revision and reads the newest one, since older
// revisions are not retained.
func (t *task) answerRange(r *etcdserverpb.RangeRequest) *etcdserverpb.RangeResponse {
	found := t.scan(r.GetKey(), r.GetRangeEnd())
	t.sort(found, r)
	response := &etcdserverpb.RangeResponse{Count: int64(len(found))}
	if r.GetCountOnly() {
		return response
	}
	if limit := int(r.GetLimit()); limit > 0 && limit < len(found) {
		found, response.More = found[:limit], true
	}
	for _, e := range found {
		kv := t.keyValue(e)
		if r.GetKeysOnly() {
			kv.Value = nil
		}
		response.Kvs = append(response.Kvs, kv)
	}
	return response
}

// sort sorts entries in the order that a request specifies. Without an order, they remain sorted by key.
func (t *task) sort(found []backing.Entry, r *etcdserverpb.RangeRequest) {
	if r.GetSortOrder() == etcdserverpb.RangeRequest_NONE {
		return
	}
	slices.SortStableFunc(found, func(a, b backing.Entry) int {
		var order int
		switch r.GetSortTarget() {
		case etcdserverpb.RangeRequest_VERSION:
			order = cmp.Compare(t.store.Version(a.Key), t.store.Version(b.Key))
		case etcdserverpb.RangeRequest_CREATE:
			order = cmp.Compare(a.CreateRevision, b.CreateRevision)
		case etcdserverpb.RangeRequest_MOD:
			order = cmp.Compare(a.ModRevision, b.ModRevision)
		case etcdserverpb.RangeRequest_VALUE:
			order = bytes.Compare(a.Value, b.Value)
		default:
			order = strings.Compare(a.Key, b.Key)
		}
		if r.GetSortOrder() == etcdserverpb.RangeRequest_DESCEND {
			return -order
		}
		return order
	})
}

// keyValue converts an entry to its protobuf message.
func (t *task) keyValue(e backing.Entry) *mvccpb.KeyValue {
	return &mvccpb.KeyValue{
		Key: []byte(e.Key), Value: e.Value, CreateRevision: e.CreateRevision, ModRevision: e.ModRevision,
		Version: t.store.Version(e.Key), Lease: int64(e.Lease),
	}
}
