package quarantine

import "time"

// entry is the state of one fingerprint.
type entry struct {
	term     uint32
	evidence int
	expires  time.Time
	// trialUntil is the time until which the outcome of a trial is awaited; zero if no trial is reserved.
	trialUntil time.Time
}

func (e *entry) mark(now time.Time, f Fingerprint) Mark {
	return Mark{Fingerprint: f, Term: e.term, Evidence: e.evidence, Remaining: e.expires.Sub(now)}
}

// set replaces the term and the evidence, which ends a trial. The mark stays valid for at most limit.
func (e *entry) set(now time.Time, term uint32, evidence int, limit time.Duration) {
	e.term, e.evidence = term, min(evidence, quarantineEvidence)
	e.trialUntil = time.Time{}
	valid := suspectDuration
	if e.evidence >= quarantineEvidence {
		valid = quarantineDuration
	}
	e.expires = now.Add(min(limit, valid))
}
