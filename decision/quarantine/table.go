package quarantine

import (
	"math"
	"slices"
	"time"
)

const (
	// quarantineEvidence is the evidence that quarantines a fingerprint.
	quarantineEvidence = 3
	// answerPartEvidence is the evidence that quarantines an answer part. The users' limit holds from the fifth crash on.
	answerPartEvidence = 4
	// provenPartEvidence quarantines an answer part with which a complete answer is known. Its crashes likelier come from endpoints that fail by
	// themselves, but the part may crash them after an update of their software.
	provenPartEvidence = 16
	// maxRequestShare is the number of crashes of one request that count against its answer parts. Further ones rather speak against the
	// request as a whole, or against the endpoints.
	maxRequestShare = 2
	// crashEvidence is the evidence of a crash against each fingerprint of the request, unless one is the single suspect.
	crashEvidence = 1
	// soleSuspectEvidence is the evidence of a crash against the single suspect of the request. The first crash and one more
	// quarantine the fingerprint.
	soleSuspectEvidence = 2
	// suspectDuration is the time for which a fingerprint stays suspect after a crash.
	suspectDuration = 10 * time.Minute
	// maxQuarantine is the longest time for which a fingerprint stays in quarantine before its next trial.
	maxQuarantine = time.Hour
	// firstSharedQuarantine is the length of the first quarantine of a shared fingerprint. It is short, since a wrong quarantine
	// refuses many sound requests.
	firstSharedQuarantine = 2 * time.Minute
	// quarantineGrowth is the ratio of the lengths of two consecutive quarantines. Each trial between them may cost an endpoint.
	quarantineGrowth = 6
	// trialTimeout is the time after which a trial without an outcome no longer keeps others waiting. The node that runs it
	// may have failed.
	trialTimeout = 10 * time.Second
	// maxEntries bounds the table. A full table evicts a part of its entries at once, since a crash can add thousands.
	maxEntries = 10_000
	// evictionDivisor divides maxEntries: a full table evicts that many entries.
	evictionDivisor = 16
)

// Table holds the marks of fingerprints. It is not safe for concurrent use; one task owns it.
type Table struct {
	entries map[Fingerprint]*entry
	proofs  proofs
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{entries: map[Fingerprint]*entry{}, proofs: proofs{}} }

// Reserve returns how a request with the fingerprint may run now. The result Suspect reserves the only trial, which ends with
// Crashed, Completed or Release, or after trialTimeout.
func (t *Table) Reserve(now time.Time, f Fingerprint) Standing {
	e := t.lookup(now, f)
	if e == nil {
		return Clear
	}
	standing := e.mark(now, f).Standing()
	if standing != Suspect {
		return standing
	}
	if now.Before(e.trialUntil) {
		return Busy
	}
	e.trialUntil = now.Add(trialTimeout)
	return Suspect
}

// Release ends a trial that had no outcome.
func (t *Table) Release(now time.Time, f Fingerprint) {
	if e := t.lookup(now, f); e != nil {
		e.trialUntil = time.Time{}
	}
}

// Crashed records that an endpoint crashed under a request. The argument seen holds the marks of the request's fingerprints at the time
// when the request was sent, the likelier causes first. It returns the marks that have changed.
//
// A single suspect explains the crash, so the evidence against it grows by more. If there are several suspects, it is not
// known which of them caused the crash.
func (t *Table) Crashed(now time.Time, seen []Mark) []Mark {
	suspects := 0
	for _, m := range seen {
		if m.Evidence > 0 && !m.Fingerprint.IsAnswerPart() {
			suspects++
		}
	}
	var changed []Mark
	for _, m := range seen {
		gain := crashEvidence
		if m.Evidence > 0 && !m.Fingerprint.IsAnswerPart() && suspects == 1 {
			gain = soleSuspectEvidence
		}
		changed = t.accuse(now, changed, m, gain)
	}
	return changed
}

// CrashedLate records that an endpoint crashed under a request that had begun its answer, and returns the marks that have
// changed. The request as a whole and its answer parts gain evidence; the start of the answer has cleared the parts of crashes before it. A
// crash breaks all runs of an endpoint, most of which are sound, so a single suspect needs one more crash than before an answer.
func (t *Table) CrashedLate(now time.Time, seen []Mark) []Mark {
	accusesParts := !slices.ContainsFunc(seen, func(m Mark) bool { return !m.Fingerprint.IsShared() && m.Evidence >= maxRequestShare })
	var changed []Mark
	for _, m := range seen {
		if m.Fingerprint.IsShared() && !(m.Fingerprint.IsAnswerPart() && accusesParts) {
			continue
		}
		changed = t.accuse(now, changed, m, crashEvidence)
	}
	return changed
}

// accuse adds evidence to a mark as it was when the request was sent. It appends the mark to changed if that changes the table.
func (t *Table) accuse(now time.Time, changed []Mark, m Mark, gain int) []Mark {
	if m.Term == 0 && t.proofs.holds(now, m.Fingerprint) {
		m.Term, m.Evidence = 1, 0
	}
	m.Evidence += gain
	if m.Fingerprint.IsAnswerPart() && m.Standing() == Quarantined && slices.ContainsFunc(changed, Mark.isQuarantinedPart) {
		// The part that was accused first explains the crash. If it was not the cause, the next crash quarantines this one.
		m.Evidence -= gain
	}
	m.Remaining = maxQuarantine
	if t.Merge(now, m) {
		changed = append(changed, t.entries[m.Fingerprint].mark(now, m.Fingerprint))
	}
	return changed
}

// MarkProven marks an accused answer part as proven if a complete answer with it is known. It returns the new mark, and false if nothing has
// changed.
func (t *Table) MarkProven(now time.Time, f Fingerprint) (Mark, bool) {
	e := t.lookup(now, f)
	if e == nil || e.term > 0 || e.evidence == 0 || !t.proofs.holds(now, f) {
		return Mark{}, false
	}
	m := e.mark(now, f)
	m.Term = 1
	e.set(now, m)
	return m, true
}

// Completed records that a request with the fingerprints got its answer, and discards the evidence against them. It returns
// the marks that have changed.
func (t *Table) Completed(now time.Time, fingerprints []Fingerprint) []Mark {
	t.proofs.record(now, fingerprints)
	var changed []Mark
	for _, f := range fingerprints {
		if e := t.lookup(now, f); e != nil && e.evidence > 0 {
			e.set(now, Mark{Fingerprint: f, Term: e.term + 1, Remaining: suspectDuration})
			changed = append(changed, e.mark(now, f))
		}
	}
	return changed
}

// Merge applies a mark, for example of another node, and reports whether the table has changed.
func (t *Table) Merge(now time.Time, m Mark) bool {
	m.Evidence = max(0, min(m.Evidence, m.quarantineLimit()))
	if m.Remaining <= 0 || m.Evidence == 0 && m.Term == 0 {
		return false
	}
	e := t.lookup(now, m.Fingerprint)
	if e != nil && !m.supersedes(e.mark(now, m.Fingerprint)) {
		return false
	}
	if e == nil {
		e = t.insert(now, m.Fingerprint)
	}
	e.set(now, m)
	return true
}

// Expire removes the marks that are no longer valid. A fingerprint whose quarantine has ended becomes a suspect.
func (t *Table) Expire(now time.Time) {
	for f := range t.entries {
		t.lookup(now, f)
	}
}

// Marks returns at most limit marks, those with the most evidence first.
func (t *Table) Marks(now time.Time, limit int) []Mark {
	marks := make([]Mark, 0, len(t.entries))
	for f, e := range t.entries {
		marks = append(marks, e.mark(now, f))
	}
	slices.SortFunc(marks, compareMarks)
	return marks[:min(limit, len(marks))]
}

// Snapshot returns a copy of the marks.
func (t *Table) Snapshot(now time.Time) Snapshot {
	s := make(Snapshot, len(t.entries))
	for f, e := range t.entries {
		s[f] = e.mark(now, f)
	}
	return s
}

// lookup returns the entry of a fingerprint, or nil if there is none or it has expired.
func (t *Table) lookup(now time.Time, f Fingerprint) *entry {
	e := t.entries[f]
	if e == nil || now.Before(e.expires) {
		return e
	}
	if e.mark(now, f).Standing() != Quarantined {
		delete(t.entries, f)
		return nil
	}
	next := Mark{Fingerprint: f, Term: e.term + 1, Evidence: crashEvidence, Round: uint8(min(math.MaxUint8, int(e.round)+1)), Remaining: suspectDuration}
	if f.IsAnswerPart() {
		// One more crash is enough.
		next.Evidence = next.quarantineLimit() - crashEvidence
	}
	e.set(now, next)
	return e
}

// quarantineDuration returns the length of the quarantine of a fingerprint after round earlier ones.
func quarantineDuration(f Fingerprint, round uint8) time.Duration {
	d := maxQuarantine
	if f.IsShared() {
		d = firstSharedQuarantine
	}
	for range round {
		d = min(maxQuarantine, d*quarantineGrowth)
	}
	return d
}

func (t *Table) insert(now time.Time, f Fingerprint) *entry {
	if len(t.entries) >= maxEntries {
		t.evictWeakest(now)
	}
	e := &entry{}
	t.entries[f] = e
	return e
}

// evictWeakest makes room in a full table. Quarantines stay until there is nothing else: a prompt with many parts adds many marks by one crash.
func (t *Table) evictWeakest(now time.Time) {
	marks := t.Marks(now, len(t.entries))
	slices.SortFunc(marks, compareStrength)
	for _, m := range marks[len(marks)-maxEntries/evictionDivisor:] {
		delete(t.entries, m.Fingerprint)
	}
}
