package engine

import (
	"slices"
	"time"
)

// batch is the continuous batch: the running and waiting sequences and the memory that they share. It reads no clock
// and starts no goroutine.
type batch struct {
	options Options
	memory  *blockMemory
	// waiting is sorted by sequence.before; its first element is admitted next.
	waiting     []*sequence
	running     []*sequence
	arrivals    int64
	preemptions int64
	prefilled   int64
}

func newBatch(o Options, onChange func(CacheEventKind, uint64)) *batch {
	return &batch{options: o, memory: newBlockMemory(o.Blocks, o.BlockTokens, onChange)}
}

// size returns the number of running and waiting sequences.
func (b *batch) size() int { return len(b.running) + len(b.waiting) }

// add enqueues a new sequence.
func (b *batch) add(s *sequence) {
	b.arrivals++
	s.arrival = b.arrivals
	b.enqueue(s)
}

func (b *batch) enqueue(s *sequence) {
	at, _ := slices.BinarySearchFunc(b.waiting, s, func(e, target *sequence) int {
		if e.before(target) {
			return -1
		}
		return 1
	})
	b.waiting = slices.Insert(b.waiting, at, s)
}

// remove removes a sequence from the queue or the running batch and releases its memory.
func (b *batch) remove(s *sequence) {
	same := func(other *sequence) bool { return other == s }
	b.waiting = slices.DeleteFunc(b.waiting, same)
	b.running = slices.DeleteFunc(b.running, same)
	b.memory.release(s)
}

// planStep plans the next step and returns its duration, or 0 when no sequence is running.
func (b *batch) planStep() time.Duration {
	b.admitWaiting()
	tokens := b.planPrefill()
	decoding := b.planDecoding()
	if len(b.running) == 0 {
		return 0
	}
	b.prefilled += tokens
	return b.options.StepTime + time.Duration(decoding)*b.options.SequenceTime + time.Duration(tokens)*b.options.PrefillTime
}

// admitWaiting moves sequences from the queue into the running batch while batch slots and memory are free. It stops at
// the first sequence that does not fit, so that smaller sequences do not overtake it.
func (b *batch) admitWaiting() {
	for len(b.waiting) > 0 && len(b.running) < b.options.MaxBatch && b.memory.admit(b.waiting[0]) {
		b.running = append(b.running, b.waiting[0])
		b.waiting = b.waiting[1:]
	}
}

// planPrefill distributes the prefill budget of the step over the running sequences and returns the number of tokens
// used.
func (b *batch) planPrefill() int64 {
	budget := int64(b.options.PrefillTokens)
	for _, s := range b.running {
		s.chunk = min(s.prefill, budget)
		budget -= s.chunk
	}
	return int64(b.options.PrefillTokens) - budget
}

// planDecoding reserves memory for the next token of each sequence whose prefill is complete, and returns the number of
// these sequences. When memory is full, it preempts the newest sequence of the lowest priority; a sequence that runs
// alone ends with its next token instead.
func (b *batch) planDecoding() int {
	decoding := 0
	order := slices.Clone(b.running)
	slices.SortFunc(order, func(x, y *sequence) int {
		if x.before(y) {
			return -1
		}
		return 1
	})
	for i, s := range order {
		s.decoding = s.prefill == s.chunk && slices.Contains(b.running, s)
		for s.decoding && !b.memory.grow(s) {
			last := len(b.running) - 1
			if last == 0 {
				s.length = s.produced + 1
				s.finishReason = "length"
				break
			}
			b.preempt(b.preemptionVictim(order[i:]))
			s.decoding = slices.Contains(b.running, s)
		}
		if s.decoding {
			decoding++
		}
	}
	return decoding
}

// preemptionVictim returns the last sequence of order that is still running.
func (b *batch) preemptionVictim(order []*sequence) *sequence {
	for i := len(order) - 1; i > 0; i-- {
		if slices.Contains(b.running, order[i]) {
			return order[i]
		}
	}
	return order[0]
}

// preempt moves a running sequence back to the queue and releases its memory, which must be computed again.
func (b *batch) preempt(s *sequence) {
	b.preemptions++
	b.remove(s)
	s.prefill, s.chunk, s.decoding = 0, 0, false
	b.enqueue(s)
}

// applyStep applies the planned step and returns the sequences that produced a token.
func (b *batch) applyStep() []*sequence {
	var advanced []*sequence
	for _, s := range b.running {
		if s.chunk > 0 {
			s.prefill -= s.chunk
			s.chunk = 0
			if s.prefill == 0 {
				b.memory.cachePrompt(s)
			}
		}
		if s.decoding {
			s.decoding = false
			s.produced++
			advanced = append(advanced, s)
		}
	}
	return advanced
}
