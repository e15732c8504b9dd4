package backing

const (
	// revisionBits is the number of bits of the counter in a revision. A service that makes 51,000 changes a second needs 8 months to
	// use them up.
	revisionBits = 40
	// MaxEra is the highest era that a revision can hold.
	MaxEra = 1<<(63-revisionBits) - 1
	// MaxRevisionNumber is the highest number that a revision can hold.
	MaxRevisionNumber = 1<<revisionBits - 1
)

// JoinRevision returns the revision with a number in an era. A service that was restored from an older copy enters its next era and
// gives numbers out again, so a number alone orders nothing. Joined revisions are ordered by their eras first. A service without eras
// is in era 0, in which the revision equals its number. An era or a number outside its range becomes the nearest one in it.
func JoinRevision(era, number int64) int64 {
	return min(max(era, 0), MaxEra)<<revisionBits | min(max(number, 0), MaxRevisionNumber)
}

// RevisionEra returns the era of a revision.
func RevisionEra(revision int64) int64 { return revision >> revisionBits }

// RevisionNumber returns the number of a revision in its era.
func RevisionNumber(revision int64) int64 { return revision & MaxRevisionNumber }
