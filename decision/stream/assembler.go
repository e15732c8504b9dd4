package stream

import "time"

// Assembler tracks one generation. The parts of a generation are numbered from 0 without gaps.
type Assembler struct {
	next     int
	finished bool
	ended    bool
	last     time.Time
	mean     time.Duration
}

// NewAssembler returns an assembler that expects the part with the given number first.
func NewAssembler(now time.Time, next int) *Assembler {
	return &Assembler{next: next, last: now}
}

// Accept says what to do with the part of the given number.
func (a *Assembler) Accept(now time.Time, number int) Acceptance {
	switch {
	case number < a.next:
		return Duplicate
	case number > a.next:
		return Gap
	}
	a.observe(now)
	a.next++
	return Deliver
}

// observe updates the mean interval between parts.
func (a *Assembler) observe(now time.Time) {
	interval := now.Sub(a.last)
	a.last = now
	if a.next == 0 {
		return
	}
	if a.mean == 0 {
		a.mean = interval
		return
	}
	a.mean += (interval - a.mean) / meanWeight
}

// meanWeight is the weight of the history in the mean interval between parts.
const meanWeight = 8

// Next returns the number of the next part.
func (a *Assembler) Next() int { return a.next }

// Finish records that a part carried the reason why the generation ended.
func (a *Assembler) Finish() { a.finished = true }

// End records the terminal mark.
func (a *Assembler) End() { a.ended = true }

// Whole reports whether the answer is complete: it has an end reason and the terminal mark.
func (a *Assembler) Whole() bool { return a.finished && a.ended }

// stallFactor is how many mean intervals without a part count as a stall.
const stallFactor = 20

// StallDeadline returns when the generation counts as stalled: after many times the mean interval between its parts, but
// not before the given minimum.
func (a *Assembler) StallDeadline(minimum time.Duration) time.Time {
	return a.last.Add(max(minimum, stallFactor*a.mean))
}

// Last returns when the last part arrived, or when the assembler was made.
func (a *Assembler) Last() time.Time { return a.last }
