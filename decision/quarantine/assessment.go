package quarantine

import "slices"

// Assessment is the standing of a request by the marks of its fingerprints.
type Assessment struct {
	// Standing is Clear, Suspect or Quarantined.
	Standing Standing
	// Marks holds the mark of each fingerprint, in the order of the fingerprints.
	Marks []Mark
}

// IsAmbiguous reports whether a crash under the request could have more than one of the suspects as its cause. Such a request
// makes a poor trial: other requests may clear the sound ones among its fingerprints first.
func (a Assessment) IsAmbiguous() bool { return a.Standing == Suspect && len(a.Suspects()) > 1 }

// HasEvidence reports whether there is evidence against any of the fingerprints.
func (a Assessment) HasEvidence() bool {
	return slices.ContainsFunc(a.Marks, func(m Mark) bool { return m.Evidence > 0 })
}

// Suspects returns the fingerprints that make the request a suspect.
func (a Assessment) Suspects() []Mark {
	var suspects []Mark
	for _, m := range a.Marks {
		if m.Standing() == Suspect {
			suspects = append(suspects, m)
		}
	}
	return suspects
}
