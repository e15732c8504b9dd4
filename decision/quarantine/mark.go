package quarantine

import "time"

// Mark is what is known of one fingerprint. Of two marks of a fingerprint, the one with the later term holds, and in the same
// term the one with more evidence, so the order of arrival and duplicates have no effect.
type Mark struct {
	Fingerprint Fingerprint `cbor:"1,keyasint"`
	// Term counts how often the evidence was discarded: by a run that got its answer, or at the end of a quarantine.
	Term uint32 `cbor:"2,keyasint,omitempty"`
	// Evidence is between 0, if nothing speaks against the fingerprint, and quarantineEvidence.
	Evidence int `cbor:"3,keyasint,omitempty"`
	// Round counts the quarantines that a trial has followed since the fingerprint was last cleared.
	Round uint8 `cbor:"4,keyasint,omitempty"`
	// Remaining is the time for which the mark stays valid. It is a duration, so that the clocks of two nodes are never
	// compared.
	Remaining time.Duration `cbor:"5,keyasint"`
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
