package membership

import "cmp"

// pendingUpdate is a changed record that must still be sent to other members.
type pendingUpdate struct {
	id string
	// sent is the number of messages that have carried the record.
	sent int
}

func (c pendingUpdate) compare(other pendingUpdate) int {
	return cmp.Or(cmp.Compare(c.sent, other.sent), cmp.Compare(c.id, other.id))
}
