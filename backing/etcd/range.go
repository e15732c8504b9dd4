package etcd

import (
	"context"

	"connectrpc.com/connect"

	"azuredyke.dev/azuredyke/backing"
	"azuredyke.dev/azuredyke/gen/etcdserverpb"
	"azuredyke.dev/azuredyke/gen/mvccpb"
)

// Sizes of the pages in which a range is read. Values take up to 1 MB, so a range in one message could be too large.
const (
	// firstPage is the number of entries on the first page.
	firstPage = 32
	// maxPage bounds the number of entries on later pages.
	maxPage = 2000
	// pageBytes is the target size of later pages in bytes.
	pageBytes = 4 << 20
)

// Range implements backing.KV. All pages are read at the revision of the first page.
func (c *Client) Range(ctx context.Context, prefix string) (backing.RangeResult, error) {
	request := &etcdserverpb.RangeRequest{
		Key: prefixStart(prefix), RangeEnd: prefixEnd([]byte(prefix)), Limit: firstPage,
		SortOrder: etcdserverpb.RangeRequest_ASCEND, SortTarget: etcdserverpb.RangeRequest_KEY,
	}
	var result backing.RangeResult
	for {
		page, err := c.readPage(ctx, request)
		if err != nil {
			return backing.RangeResult{}, err
		}
		if result.Revision == 0 {
			result.Revision = page.GetHeader().GetRevision()
			request.Revision = result.Revision
		}
		bytes := 0
		for _, kv := range page.GetKvs() {
			result.Entries = append(result.Entries, entryOf(kv))
			bytes += len(kv.GetValue()) + len(kv.GetKey())
		}
		if !page.GetMore() || len(page.GetKvs()) == 0 {
			return result, nil
		}
		n := len(page.GetKvs())
		request.Key = append([]byte(result.Entries[len(result.Entries)-1].Key), 0)
		request.Limit = int64(min(maxPage, max(1, pageBytes*n/max(1, bytes))))
	}
}

// Get implements backing.KV.
func (c *Client) Get(ctx context.Context, key string) (backing.Entry, error) {
	page, err := c.readPage(ctx, &etcdserverpb.RangeRequest{Key: []byte(key)})
	if err != nil {
		return backing.Entry{}, err
	}
	if len(page.GetKvs()) == 0 {
		return backing.Entry{Key: key}, nil
	}
	return entryOf(page.GetKvs()[0]), nil
}

func (c *Client) readPage(ctx context.Context, request *etcdserverpb.RangeRequest) (*etcdserverpb.RangeResponse, error) {
	return read(ctx, c, func(ctx context.Context, e endpoint) (*etcdserverpb.RangeResponse, error) {
		response, err := e.kv.Range(ctx, connect.NewRequest(request))
		if err != nil {
			return nil, err
		}
		return response.Msg, nil
	})
}

func entryOf(kv *mvccpb.KeyValue) backing.Entry {
	return backing.Entry{
		Key: string(kv.GetKey()), Value: kv.GetValue(), CreateRevision: kv.GetCreateRevision(),
		ModRevision: kv.GetModRevision(), Lease: backing.LeaseID(kv.GetLease()),
	}
}
