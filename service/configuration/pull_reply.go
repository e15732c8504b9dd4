package configuration

import "azuredyke.dev/azuredyke/decision/config"

// PullReply is the reply of a peer to a pull. Neither Delta nor Whole is set if the peer has no newer configuration.
type PullReply struct {
	// Revision is the revision in force on the peer.
	Revision int64
	// Delta contains the changes from the revision in the request to Revision.
	Delta *config.Delta
	// Whole is set if Objects is the whole configuration at Revision, because the peer's history does not include the
	// revision in the request.
	Whole   bool
	Objects []*config.Object
}

// snapshot returns the peer's snapshot. It returns nil if the reply is not newer than the snapshot in force, its delta does
// not apply to that snapshot, or it contains an object without the spec of its kind.
func (r PullReply) snapshot(inForce *config.Snapshot) *config.Snapshot {
	switch {
	case r.Revision <= inForce.Revision():
	case r.Whole && allComplete(r.Objects):
		return config.NewSnapshot(r.Revision, r.Objects)
	case r.Delta != nil && r.Delta.To == r.Revision && allComplete(r.Delta.Changed):
		if next, ok := r.Delta.Apply(inForce); ok {
			return next
		}
	}
	return nil
}

func allComplete(objects []*config.Object) bool {
	for _, o := range objects {
		if o == nil || !o.Complete() {
			return false
		}
	}
	return true
}
