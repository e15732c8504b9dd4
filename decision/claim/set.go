package claim

import (
	"time"

	"azuredyke.dev/azuredyke/common/message"
)

// releaseRetention is the time for which a released attempt is kept, so that a claim of the attempt that arrives after its
// release is refused.
const releaseRetention = time.Minute

// Set holds the claims of one shard.
type Set struct {
	retention time.Duration
	entries   map[message.ClaimKey]*entry
	// byAge lists the records from the oldest to the newest, for Expire.
	byAge []recordTime
	// released maps each released attempt to the time of its release.
	released map[attemptKey]time.Time
	// queue holds the records that are not durable yet, in order.
	queue []Record
	// inFlight is the number of records at the head of the queue that are being written.
	inFlight int
}

// entry is one claim. Its record is durable unless pending is set.
type entry struct {
	record  Record
	pending bool
	// releasing is set while the release of the claim is not durable yet.
	releasing bool
}

// attemptKey identifies the claim of a key by one attempt.
type attemptKey struct {
	key     message.ClaimKey
	attempt string
}

// recordTime is the key and the time of one record.
type recordTime struct {
	key message.ClaimKey
	at  time.Time
}

// NewSet returns an empty set that keeps claims for the given retention.
func NewSet(retention time.Duration) *Set {
	return &Set{retention: retention, entries: map[message.ClaimKey]*entry{}, released: map[attemptKey]time.Time{}}
}

// Len returns the number of claims.
func (s *Set) Len() int { return len(s.entries) }

// Contains reports whether the set has a claim of the key.
func (s *Set) Contains(key message.ClaimKey) bool {
	_, ok := s.entries[key]
	return ok
}

// Queued returns the number of records that are not durable yet.
func (s *Set) Queued() int { return len(s.queue) }

// Replay applies a durable record.
func (s *Set) Replay(r Record) {
	if r.Kind == KindReleased {
		if e, ok := s.entries[r.Key]; ok && e.record.Attempt == r.Attempt {
			delete(s.entries, r.Key)
		}
		return
	}
	s.put(r, false)
}

// Claim decides a claim. If the key is free, it queues the record of the claim and returns an Answer with Wait set.
func (s *Set) Claim(now time.Time, c message.ClaimRequest) Answer {
	if at, ok := s.released[attemptKey{key: c.Key, attempt: c.Attempt}]; ok && now.Sub(at) < releaseRetention {
		return Answer{Status: message.ClaimUnavailable}
	}
	e, ok := s.entries[c.Key]
	switch {
	case !ok:
		r := Record{Kind: KindClaimed, Key: c.Key, Fingerprint: c.Fingerprint, Attempt: c.Attempt, At: now}
		s.put(r, true)
		s.queue = append(s.queue, r)
		return Answer{Wait: true}
	case e.pending, e.releasing:
		return Answer{Wait: true}
	case e.record.Fingerprint != c.Fingerprint:
		return Answer{Status: message.ClaimMismatch}
	case e.record.Kind == KindFinished:
		return Answer{Status: message.ClaimFinished, Outcome: e.record.Outcome}
	case e.record.Attempt == c.Attempt:
		return Answer{Status: message.ClaimGranted}
	default:
		return Answer{Status: message.ClaimHeld}
	}
}

// Settle queues the outcome or the release of a claim. It does not change the claim of another attempt.
func (s *Set) Settle(now time.Time, c message.ClaimSettle) {
	if c.Released {
		s.released[attemptKey{key: c.Key, attempt: c.Attempt}] = now
	}
	e, ok := s.entries[c.Key]
	if !ok || e.record.Attempt != c.Attempt || e.record.Kind != KindClaimed || e.releasing {
		return
	}
	r := Record{Key: c.Key, Fingerprint: e.record.Fingerprint, Attempt: c.Attempt, At: now}
	switch {
	case c.Released:
		r.Kind = KindReleased
		e.releasing = true
	case c.Outcome != nil && !e.pending:
		r.Kind, r.Outcome = KindFinished, c.Outcome
		s.put(r, false)
	default:
		return
	}
	s.queue = append(s.queue, r)
}

// NextBatch returns the records to write next: as many as fit in maxBytes, but at least one if any are queued. The records
// stay in flight until MarkDurable is called; until then, further calls return none.
func (s *Set) NextBatch(maxBytes int) []Record {
	if s.inFlight > 0 {
		return nil
	}
	total := 0
	for _, r := range s.queue {
		total += r.Bytes()
		if total > maxBytes && s.inFlight > 0 {
			break
		}
		s.inFlight++
	}
	return s.queue[:s.inFlight:s.inFlight]
}

// MarkDurable marks the records in flight as durable, and returns their keys, whose waiting claims can now be decided.
func (s *Set) MarkDurable() []message.ClaimKey {
	keys := make([]message.ClaimKey, 0, s.inFlight)
	for _, r := range s.queue[:s.inFlight] {
		keys = append(keys, r.Key)
		e, ok := s.entries[r.Key]
		if !ok || e.record.Attempt != r.Attempt {
			continue
		}
		switch r.Kind {
		case KindClaimed:
			e.pending = false
		case KindReleased:
			delete(s.entries, r.Key)
		}
	}
	s.queue = append([]Record(nil), s.queue[s.inFlight:]...)
	s.inFlight = 0
	return keys
}

// Expire deletes the claims that are older than the retention, and the released attempts older than releaseRetention.
func (s *Set) Expire(now time.Time) {
	for len(s.byAge) > 0 && now.Sub(s.byAge[0].at) > s.retention {
		oldest := s.byAge[0]
		s.byAge = s.byAge[1:]
		if e, ok := s.entries[oldest.key]; ok && !e.pending && !e.releasing && !e.record.At.After(oldest.at) {
			delete(s.entries, oldest.key)
		}
	}
	for attempt, at := range s.released {
		if now.Sub(at) >= releaseRetention {
			delete(s.released, attempt)
		}
	}
}

func (s *Set) put(r Record, pending bool) {
	s.entries[r.Key] = &entry{record: r, pending: pending}
	s.byAge = append(s.byAge, recordTime{key: r.Key, at: r.At})
}
