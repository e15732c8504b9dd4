package quarantine

import "time"

// entry is the state of one fingerprint.
type entry struct {
	term     uint32
	evidence int
	round    uint8
	expires  time.Time
	// trialUntil is the time until which the outcome of a trial is awaited; zero if no trial is reserved.
	trialUntil time.Time
}

func (e *entry) mark(now time.Time, f Fingerprint) Mark {
	return Mark{Fingerprint: f, Term: e.term, Evidence: e.evidence, Round: e.round, Remaining: e.expires.Sub(now)}
}

// set replaces the state by that of a mark, which ends a trial. The mark stays valid for at most its remaining time.
func (e *entry) set(now time.Time, m Mark) {
	e.term, e.evidence, e.round, e.trialUntil = m.Term, m.Evidence, m.Round, time.Time{}
	valid := suspectDuration
	if m.Standing() == Quarantined {
		valid = quarantineDuration(m.Fingerprint, m.Round)
	}
	e.expires = now.Add(min(m.Remaining, valid))
}
