package membership

import "cmp"

// change is a record that still spreads.
type change struct {
	id string
	// sent is the number of messages that carried it.
	sent int
}

func (c change) compare(other change) int {
	return cmp.Or(cmp.Compare(c.sent, other.sent), cmp.Compare(c.id, other.id))
}
