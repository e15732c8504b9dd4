package rollout

import (
	"azuredyke.dev/azuredyke/decision/rollout"
)

// storedRollout is the roll-out of one service as the decider has read or written it.
type storedRollout struct {
	plan *rollout.Plan
	// planRevision and statusRevision are the revisions of the entries; 0 if they do not exist.
	planRevision, statusRevision int64
	// unresolved is the value of the last write whose outcome is not known; nil if there is none.
	unresolved []byte
	// known is set once the entries have been read and no write is unresolved.
	known bool

	judge Judge
	// judged identifies the attempt that the judge has seen.
	judged rolloutKey
	// revertDue is set while the judge wants to revert and that is not written.
	revertDue bool
}
