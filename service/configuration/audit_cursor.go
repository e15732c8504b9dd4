package configuration

import (
	"context"

	"azuredyke.dev/azuredyke/platform"
)

// auditCursor reads records from the newest to the oldest, a page at a time.
type auditCursor struct {
	kv platform.KV
	// pages are the prefixes that are still to be read, newest first.
	pages []string
	// records of the current page, oldest first.
	records []AuditRecord
	// order sorts the records of a page that was read, oldest first, and drops those that do not belong to it.
	order func([]AuditRecord) []AuditRecord
}

// peek returns the newest record that was not taken, or nil at the end.
func (c *auditCursor) peek(ctx context.Context) (*AuditRecord, error) {
	for len(c.records) == 0 {
		if len(c.pages) == 0 {
			return nil, nil
		}
		result, err := c.kv.Range(ctx, c.pages[0])
		if err != nil {
			return nil, err
		}
		c.pages = c.pages[1:]
		for _, e := range result.Entries {
			r, err := decodeRecord(e.Key, e.Value)
			if err != nil {
				return nil, err
			}
			c.records = append(c.records, r)
		}
		if c.order != nil {
			c.records = c.order(c.records)
		}
	}
	return &c.records[len(c.records)-1], nil
}

// take removes the record that peek returned.
func (c *auditCursor) take() { c.records = c.records[:len(c.records)-1] }
