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

// recordBytes is an upper estimate of the stored size of a record without its outcome.
const recordBytes = 96

// Bytes returns an upper estimate of the stored size.
func (r Record) Bytes() int {
	n := recordBytes + len(r.Attempt)
	if r.Outcome != nil {
		n += recordBytes + len(r.Outcome.ContentType) + len(r.Outcome.Body)
	}
	return n
}
