package rollout

// Holder is the node that is listed as the decider.
type Holder struct {
	Node string
	// Revision is the revision of the entry; 0 if there is none.
	Revision int64
}
