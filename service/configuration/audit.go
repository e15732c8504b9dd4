package configuration

import (
	"context"
	"encoding/json"

	"azuredyke.dev/azuredyke/backing"
)

// maxRefusalBytes limits the record of a refused change. A larger record is written without its objects, because a change
// may be refused for its size.
const maxRefusalBytes = 64 << 10

// readAudit returns the newest records that match a query, newest first. It stops reading pages at the limit of the query.
func (s store) readAudit(ctx context.Context, q AuditQuery) ([]AuditRecord, error) {
	accepted, err := s.openAcceptedCursor(ctx)
	if err != nil {
		return nil, err
	}
	refused, err := s.openRefusedCursor(ctx)
	if err != nil {
		return nil, err
	}
	var records []AuditRecord
	for len(records) < q.Limit {
		nextAccepted, err := accepted.peek(ctx)
		if err != nil {
			return nil, err
		}
		nextRefused, err := refused.peek(ctx)
		if err != nil {
			return nil, err
		}
		newest, source := nextAccepted, accepted
		if nextAccepted == nil || (nextRefused != nil && nextRefused.Time.After(nextAccepted.Time)) {
			newest, source = nextRefused, refused
		}
		if newest == nil {
			break
		}
		if q.matches(*newest) {
			records = append(records, *newest)
		}
		source.advance()
	}
	return records, nil
}

// openAcceptedCursor returns a cursor over the records of accepted changes.
func (s store) openAcceptedCursor(ctx context.Context) (*auditCursor, error) {
	h, err := s.readHead(ctx)
	if err != nil {
		return nil, err
	}
	c := &auditCursor{kv: s.kv}
	if h.Revision > 0 {
		for n := h.Revision / auditPageSize; n >= h.AuditFloor/auditPageSize; n-- {
			c.pages = append(c.pages, page{prefix: auditPagePrefix(n)})
		}
	}
	return c, nil
}

// openRefusedCursor returns a cursor over the records of refused changes. The slots form a ring, so the page with the newest
// records may also contain the oldest records. The cursor reads that page a second time at the end for the oldest records.
func (s store) openRefusedCursor(ctx context.Context) (*auditCursor, error) {
	count, _, err := s.readRefusalCount(ctx)
	if err != nil {
		return nil, err
	}
	c := &auditCursor{kv: s.kv}
	const pages = refusedSlots / auditPageSize
	newest := count / auditPageSize
	for n := newest; n >= 0 && n >= newest-pages; n-- {
		c.pages = append(c.pages, page{
			prefix: refusedPagePrefix(n), firstSequence: n * auditPageSize, endSequence: (n + 1) * auditPageSize,
		})
	}
	return c, nil
}

// readRefusalCount returns the number of refused changes recorded so far, and the ModRevision of that count.
func (s store) readRefusalCount(ctx context.Context) (count, modRevision int64, err error) {
	e, err := s.kv.Get(ctx, refusalCountKey)
	if err != nil || e.ModRevision == 0 {
		return 0, 0, err
	}
	if err := json.Unmarshal(e.Value, &count); err != nil || count < 0 {
		return 0, 0, Error.New("value of %s is not a count", refusalCountKey)
	}
	return count, e.ModRevision, nil
}

// recordRefusal writes the record of a refused change to the next slot. It returns an error if another refusal is recorded
// at the same time.
func (s store) recordRefusal(ctx context.Context, r AuditRecord) error {
	sequence, modRevision, err := s.readRefusalCount(ctx)
	if err != nil {
		return err
	}
	r.Sequence = sequence
	slot, err := encodeWrite(refusedKey(sequence), r)
	if err != nil {
		return err
	}
	if len(slot.Value) > maxRefusalBytes {
		r.Before, r.After = nil, nil
		if slot, err = encodeWrite(refusedKey(sequence), r); err != nil {
			return err
		}
	}
	count, err := encodeWrite(refusalCountKey, sequence+1)
	if err != nil {
		return err
	}
	result, err := s.kv.Commit(ctx, backing.Txn{
		Conditions: []backing.Condition{{Key: refusalCountKey, ModRevision: modRevision}},
		Writes:     []backing.Write{slot, count},
	})
	if err == nil && !result.Committed {
		return backing.ErrUnavailable.New("another refusal was recorded at the same time")
	}
	return err
}
