package configuration

import "azuredyke.dev/azuredyke/decision/config"

// PullReply answers a node that asks a peer for a newer configuration. Neither Delta nor Whole is set when the peer has
// none.
type PullReply struct {
	// Revision is the revision in force on the peer.
	Revision int64
	// Delta leads from the revision that was asked with to Revision.
	Delta *config.Delta
	// Whole says that Objects is the whole configuration at Revision, since the peer's history does not reach back.
	Whole   bool
	Objects []*config.Object
}

// snapshot returns the peer's snapshot, or nil when it is not newer than the one in force, does not fit it, or holds an
// object that no task could use.
func (r PullReply) snapshot(inForce *config.Snapshot) *config.Snapshot {
	switch {
	case r.Revision <= inForce.Revision():
	case r.Whole && complete(r.Objects):
		return config.NewSnapshot(r.Revision, r.Objects)
	case r.Delta != nil && r.Delta.To == r.Revision && complete(r.Delta.Changed):
		if next, ok := r.Delta.Apply(inForce); ok {
			return next
		}
	}
	return nil
}

func complete(objects []*config.Object) bool {
	for _, o := range objects {
		if o == nil || !o.Complete() {
			return false
		}
	}
	return true
}
