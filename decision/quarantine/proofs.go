package quarantine

import "time"

const (
	// proofDuration is the time for which a complete answer speaks for its parts. It is as long as a crash speaks against them.
	proofDuration = suspectDuration
	// maxProofs bounds the parts that are known to be sound. It exceeds the number of parts that a node meets within proofDuration, except
	// for parts that few requests contain.
	maxProofs = 10_000
)

// proofs holds the times of the latest complete answers with answer parts. Requests with a sound part complete answers all the time, those
// with a part that crashes endpoints never do.
type proofs map[Fingerprint]time.Time

// record records a complete answer of a request with the fingerprints.
func (p proofs) record(now time.Time, fingerprints []Fingerprint) {
	for _, f := range fingerprints {
		if !f.IsAnswerPart() {
			continue
		}
		if _, ok := p[f]; !ok && len(p) >= maxProofs {
			p.makeRoom(now)
		}
		p[f] = now
	}
}

// holds reports whether an answer with the fingerprint was complete lately.
func (p proofs) holds(now time.Time, f Fingerprint) bool {
	at, ok := p[f]
	return ok && now.Sub(at) < proofDuration
}

// makeRoom removes the proofs that have ended, or any one if none has.
func (p proofs) makeRoom(now time.Time) {
	var last Fingerprint
	before := len(p)
	for f, at := range p {
		last = f
		if now.Sub(at) >= proofDuration {
			delete(p, f)
		}
	}
	if len(p) == before {
		delete(p, last)
	}
}
