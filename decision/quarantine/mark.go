package quarantine

import "time"

// Mark is what is known of one fingerprint. Of two marks of a fingerprint, the one with the later term holds, and in the same
// term the one with more evidence, so the order of arrival and duplicates have no effect.
type Mark struct {
	Fingerprint Fingerprint `cbor:"1,keyasint"`
	// Term counts how often the evidence was discarded: by a run that got its answer, or at the end of a quarantine.
	Term uint32 `cbor:"2,keyasint,omitempty"`
	// Evidence is between 0, if nothing speaks against the fingerprint, and the evidence that quarantines it.
	Evidence int `cbor:"3,keyasint,omitempty"`
	// Round counts the quarantines that a trial has followed since the fingerprint was last cleared.
	Round uint8 `cbor:"4,keyasint,omitempty"`
	// Remaining is the time for which the mark stays valid. It is a duration, so that the clocks of two nodes are never
	// compared.
	Remaining time.Duration `cbor:"5,keyasint"`
}

// Standing says how a request with the fingerprint may run.
//
// Answer parts become suspects only after a quarantine. All requests with the part would otherwise run one after the other after each
// failure of an endpoint, until a whole answer with it is complete.
func (m Mark) Standing() Standing {
	switch {
	case m.Evidence >= m.quarantineLimit():
		return Quarantined
	case m.Evidence > 0 && (m.Round > 0 || !m.Fingerprint.IsAnswerPart()):
		return Suspect
	default:
		return Clear
	}
}

// quarantineLimit returns the evidence that quarantines the fingerprint.
func (m Mark) quarantineLimit() int {
	switch {
	case !m.Fingerprint.IsAnswerPart():
		return quarantineEvidence
	case m.isProven():
		return provenPartEvidence
	default:
		return answerPartEvidence
	}
}

// isQuarantinedPart reports whether m quarantines an answer part.
func (m Mark) isQuarantinedPart() bool {
	return m.Fingerprint.IsAnswerPart() && m.Standing() == Quarantined
}

// isProven reports whether an answer has cleared the fingerprint. A term that was not begun by the end of a quarantine was begun by an answer.
func (m Mark) isProven() bool { return int64(m.Term) > int64(m.Round) }

// compareStrength orders marks like compareMarks, those that quarantine their fingerprint first.
func compareStrength(a, b Mark) int {
	if isQuarantined := a.Standing() == Quarantined; isQuarantined != (b.Standing() == Quarantined) {
		if isQuarantined {
			return -1
		}
		return 1
	}
	return compareMarks(a, b)
}

// supersedes reports whether m replaces another mark of the same fingerprint.
func (m Mark) supersedes(other Mark) bool {
	return m.Term > other.Term || m.Term == other.Term && m.Evidence > other.Evidence
}
