package stream

import "time"

// Assembler tracks the parts of one generation, which are numbered from 0 without gaps.
type Assembler struct {
	next            int
	hasFinishReason bool
	hasTerminator   bool
	lastArrival     time.Time
	meanInterval    time.Duration
}

// NewAssembler returns an assembler whose next part has the given number.
func NewAssembler(now time.Time, next int) *Assembler {
	return &Assembler{next: next, lastArrival: now}
}

// Accept classifies the part with the given number, and advances to the next part on Deliver.
func (a *Assembler) Accept(now time.Time, number int) Acceptance {
	switch {
	case number < a.next:
		return Duplicate
	case number > a.next:
		return Gap
	}
	a.updateMeanInterval(now)
	a.next++
	return Deliver
}

// updateMeanInterval adds the arrival of a part to the mean interval.
func (a *Assembler) updateMeanInterval(now time.Time) {
	interval := now.Sub(a.lastArrival)
	a.lastArrival = now
	if a.next == 0 {
		return
	}
	if a.meanInterval == 0 {
		a.meanInterval = interval
		return
	}
	a.meanInterval += (interval - a.meanInterval) / meanIntervalWeight
}

// meanIntervalWeight is the divisor of the moving average of the interval between parts: a new interval has a weight of
// 1/8.
const meanIntervalWeight = 8

// Next returns the number of the next part to deliver.
func (a *Assembler) Next() int { return a.next }

// RecordFinishReason records that a part contained the finish reason of the generation.
func (a *Assembler) RecordFinishReason() { a.hasFinishReason = true }

// RecordTerminator records that the terminator of the stream arrived.
func (a *Assembler) RecordTerminator() { a.hasTerminator = true }

// IsComplete reports whether the answer is complete: both the finish reason and the terminator have arrived.
func (a *Assembler) IsComplete() bool { return a.hasFinishReason && a.hasTerminator }

// stallIntervals is the number of mean intervals without a part after which a generation counts as stalled.
const stallIntervals = 20

// StallDeadline returns the time at which the generation counts as stalled: stallIntervals mean intervals after the
// last part, or minimum after it if that is later.
func (a *Assembler) StallDeadline(minimum time.Duration) time.Time {
	return a.lastArrival.Add(max(minimum, stallIntervals*a.meanInterval))
}

// LastArrival returns the arrival time of the last part, or the time of NewAssembler if none has arrived.
func (a *Assembler) LastArrival() time.Time { return a.lastArrival }
