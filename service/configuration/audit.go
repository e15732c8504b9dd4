package configuration

import (
	"context"
	"encoding/json"

	"azuredyke.dev/azuredyke/backing"
)

// maxRefusalBytes bounds the record of a refused change, which may be refused for being too large. Beyond it the objects
// are left out.
const maxRefusalBytes = 64 << 10

// audit returns the newest records that match a query, newest first. It reads pages only until it has enough.
func (s store) audit(ctx context.Context, q AuditQuery) ([]AuditRecord, error) {
	accepted, err := s.acceptedCursor(ctx)
	if err != nil {
		return nil, err
	}
	refused, err := s.refusedCursor(ctx)
	if err != nil {
		return nil, err
	}
	var records []AuditRecord
	for len(records) < q.Limit {
		a, err := accepted.peek(ctx)
		if err != nil {
			return nil, err
		}
		r, err := refused.peek(ctx)
		if err != nil {
			return nil, err
		}
		newest, from := a, accepted
		if a == nil || (r != nil && r.Time.After(a.Time)) {
			newest, from = r, refused
		}
		if newest == nil {
			break
		}
		if q.matches(*newest) {
			records = append(records, *newest)
		}
		from.take()
	}
	return records, nil
}

// acceptedCursor reads the records of accepted changes.
func (s store) acceptedCursor(ctx context.Context) (*auditCursor, error) {
	h, err := s.readHead(ctx)
	if err != nil {
		return nil, err
	}
	c := &auditCursor{kv: s.kv}
	if h.Revision > 0 {
		for n := h.Revision / auditPage; n >= h.AuditFloor/auditPage; n-- {
			c.pages = append(c.pages, page{prefix: auditPagePrefix(n)})
		}
	}
	return c, nil
}

// refusedCursor reads the records of refused changes. The slots are a ring, so the page with the newest records may also
// hold the oldest ones, and is read again at the end for those.
func (s store) refusedCursor(ctx context.Context) (*auditCursor, error) {
	count, _, err := s.refusedHead(ctx)
	if err != nil {
		return nil, err
	}
	c := &auditCursor{kv: s.kv}
	const pages = refusedSlots / auditPage
	newest := count / auditPage
	for n := newest; n >= 0 && n >= newest-pages; n-- {
		c.pages = append(c.pages, page{prefix: refusedPagePrefix(n), from: n * auditPage, below: (n + 1) * auditPage})
	}
	return c, nil
}

// refusedHead returns the number of refused changes that were recorded, and the store's revision of that count.
func (s store) refusedHead(ctx context.Context) (sequence, modRevision int64, err error) {
	e, err := s.kv.Get(ctx, refusedHeadKey)
	if err != nil || e.ModRevision == 0 {
		return 0, 0, err
	}
	if err := json.Unmarshal(e.Value, &sequence); err != nil || sequence < 0 {
		return 0, 0, Error.New("value of %s is not a count", refusedHeadKey)
	}
	return sequence, e.ModRevision, nil
}

// recordRefusal writes the record of a refused change to the next slot. Only an error leaves it unwritten.
func (s store) recordRefusal(ctx context.Context, r AuditRecord) error {
	sequence, modRevision, err := s.refusedHead(ctx)
	if err != nil {
		return err
	}
	r.Sequence = sequence
	slot, err := put(refusedKey(sequence), r)
	if err != nil {
		return err
	}
	if len(slot.Value) > maxRefusalBytes {
		r.Before, r.After = nil, nil
		if slot, err = put(refusedKey(sequence), r); err != nil {
			return err
		}
	}
	count, err := put(refusedHeadKey, sequence+1)
	if err != nil {
		return err
	}
	result, err := s.kv.Commit(ctx, backing.Txn{
		Conditions: []backing.Condition{{Key: refusedHeadKey, ModRevision: modRevision}},
		Writes:     []backing.Write{slot, count},
	})
	if err == nil && !result.Committed {
		return backing.ErrUnavailable.New("another refusal was recorded at the same time")
	}
	return err
}
