package quarantine

import "azuredyke.dev/azuredyke/decision/quarantine"

// Admission says how one attempt of a request may run.
type Admission struct {
	Standing quarantine.Standing
	// fingerprints are those of the request, the likelier causes of a crash first.
	fingerprints []quarantine.Fingerprint
	// known holds the marks that there were at the time of the admission. Few fingerprints have one, and a prompt can have thousands of parts.
	known quarantine.Snapshot
	// reserved holds the fingerprints whose trial is reserved for the attempt.
	reserved []quarantine.Fingerprint
}

// newAdmission returns an admission that keeps the marks of the fingerprints.
func newAdmission(standing quarantine.Standing, fingerprints []quarantine.Fingerprint, marks quarantine.Snapshot) Admission {
	return Admission{Standing: standing, fingerprints: fingerprints, known: marks.Restrict(fingerprints)}
}

// Marks returns the marks of the request's fingerprints at the time of the admission.
func (a Admission) Marks() []quarantine.Mark { return a.known.Assess(a.fingerprints).Marks }

// WithoutAnswerParts returns the admission without the fingerprints of answer parts, against which a crash is no evidence.
func (a Admission) WithoutAnswerParts() Admission {
	a.fingerprints = quarantine.WithoutAnswerParts(a.fingerprints)
	return a
}
