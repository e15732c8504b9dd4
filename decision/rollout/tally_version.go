package rollout

import "cmp"

// TallyVersion orders the tallies of one sender.
type TallyVersion struct {
	// Epoch is the epoch of the sender's process. A later process has a larger one.
	Epoch uint64 `cbor:"1,keyasint"`
	// Sequence increases with each tally of the process.
	Sequence uint64 `cbor:"2,keyasint"`
}

// Compare orders versions from the oldest to the newest.
func (v TallyVersion) Compare(o TallyVersion) int {
	return cmp.Or(cmp.Compare(v.Epoch, o.Epoch), cmp.Compare(v.Sequence, o.Sequence))
}
