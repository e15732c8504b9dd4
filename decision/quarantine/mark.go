package quarantine

import "time"

// Mark is what is known of one fingerprint. Of two marks of a fingerprint, the one with the later term holds, and in the same
// term the one with more evidence, so the order of arrival and duplicates have no effect.
type Mark struct {
	Fingerprint Fingerprint
	// Term counts how often the evidence was discarded: by a run that got its answer, at the end of a quarantine, or by an
	// operator.
	Term uint32
	// Evidence is between 0, if nothing speaks against the fingerprint, and quarantineEvidence.
	Evidence int
	// Round counts the quarantines that a trial has followed since the fingerprint was last cleared.
	Round uint8
	// Remaining is the time for which the mark stays valid. It is a duration, so that the clocks of two nodes are never
	// compared.
	Remaining time.Duration
}

// Standing says how a request with the fingerprint may run.
func (m Mark) Standing() Standing {
	switch {
	case m.Evidence >= quarantineEvidence:
		return Quarantined
	case m.Evidence > 0:
		return Suspect
	default:
		return Clear
	}
}

// supersedes reports whether m replaces another mark of the same fingerprint.
func (m Mark) supersedes(other Mark) bool {
	return m.Term > other.Term || m.Term == other.Term && m.Evidence > other.Evidence
}
