package claim

import (
	"time"

	"azuredyke.dev/azuredyke/common/message"
)

// Record is one change of a Set.
type Record struct {
	Kind        Kind
	Key         message.ClaimKey
	Fingerprint uint64
	Attempt     string
	At          time.Time
	// Outcome is set for KindFinished.
	Outcome *message.ClaimOutcome
}

// recordOverheadBytes is an upper bound of the stored size of a record, and of an outcome, without texts and body.
const recordOverheadBytes = 96

// Bytes returns an upper bound of the stored size.
func (r Record) Bytes() int {
	n := recordOverheadBytes + len(r.Attempt)
	if r.Outcome != nil {
		n += recordOverheadBytes + len(r.Outcome.ContentType) + len(r.Outcome.Body)
	}
	return n
}
