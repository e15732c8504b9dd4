package overload

// ranksPerLevel is the number of ranks of one priority.
const ranksPerLevel = 4

// Rank orders waiting requests over all nodes: by priority, then those that can reach their objective, then the workspaces that use no
// more than their fair share.
type Rank int

// NewRank returns the rank of a request. late is set if it can't reach its objective, exceeds if its workspace uses more than its
// share.
func NewRank(priority int, late, exceeds bool) Rank {
	rank := Rank(ranksPerLevel * priority)
	if late {
		rank += 2
	}
	if exceeds {
		rank++
	}
	return rank
}

// LeavesRoomFor reports whether a request leaves room for waiting ones of rank o: those that can still reach their objective and are of
// a more urgent priority, or of the same one if this request is late or its workspace uses more than its share and theirs does not.
// Among other requests, order and chance decide; room that each left for some other one would stay unused.
func (r Rank) LeavesRoomFor(o Rank) bool {
	late := o%ranksPerLevel >= 2
	return !late && o < r
}
