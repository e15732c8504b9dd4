package configuration

import (
	"context"

	"azuredyke.dev/azuredyke/backing"
)

// page is a range of audit records that a cursor reads at once.
type page struct {
	prefix string
	// firstSequence (inclusive) and endSequence (exclusive) limit the sequence numbers of the records of the page; an
	// endSequence of 0 means no limit.
	firstSequence, endSequence int64
}

// auditCursor reads records from the newest to the oldest, a page at a time.
type auditCursor struct {
	kv backing.KV
	// pages holds the pages that have not been read yet, newest first.
	pages []page
	// records holds the remaining records of the current page, oldest first.
	records []AuditRecord
}

// peek returns the newest remaining record, or nil at the end.
func (c *auditCursor) peek(ctx context.Context) (*AuditRecord, error) {
	for len(c.records) == 0 {
		if len(c.pages) == 0 {
			return nil, nil
		}
		p := c.pages[0]
		result, err := c.kv.Range(ctx, p.prefix)
		if err != nil {
			return nil, err
		}
		c.pages = c.pages[1:]
		for _, e := range result.Entries {
			r, err := decodeAuditRecord(e.Key, e.Value)
			if err != nil {
				return nil, err
			}
			if r.Sequence >= p.firstSequence && (p.endSequence == 0 || r.Sequence < p.endSequence) {
				c.records = append(c.records, r)
			}
		}
	}
	return &c.records[len(c.records)-1], nil
}

// advance moves past the record that peek returned.
func (c *auditCursor) advance() { c.records = c.records[:len(c.records)-1] }
