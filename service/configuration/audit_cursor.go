package configuration

import (
	"context"

	"azuredyke.dev/azuredyke/backing"
)

// page is one read of a cursor.
type page struct {
	prefix string
	// from and below bound the sequence numbers of the records that belong to the page; below is 0 for no bound.
	from, below int64
}

// auditCursor reads records from the newest to the oldest, a page at a time.
type auditCursor struct {
	kv backing.KV
	// pages are still to be read, newest first.
	pages []page
	// records of the current page, oldest first.
	records []AuditRecord
}

// peek returns the newest record that was not taken, or nil at the end.
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
			r, err := decodeRecord(e.Key, e.Value)
			if err != nil {
				return nil, err
			}
			if r.Sequence >= p.from && (p.below == 0 || r.Sequence < p.below) {
				c.records = append(c.records, r)
			}
		}
	}
	return &c.records[len(c.records)-1], nil
}

// take removes the record that peek returned.
func (c *auditCursor) take() { c.records = c.records[:len(c.records)-1] }
