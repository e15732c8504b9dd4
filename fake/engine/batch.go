package engine

import (
	"slices"
	"time"
)

// batch is the continuous batch: the sequences that run and wait, and the memory that they share. It has no clock and no
// goroutine.
type batch struct {
	options Options
	memory  *blockMemory
	// waiting is sorted by sequence.before.
	waiting     []*sequence
	running     []*sequence
	arrivals    int64
	preemptions int64
	prefilled   int64
}

func newBatch(o Options, changed func(CacheEventKind, uint64)) *batch {
	return &batch{options: o, memory: newBlockMemory(o.Blocks, o.BlockTokens, changed)}
}

// size returns the number of sequences.
func (b *batch) size() int { return len(b.running) + len(b.waiting) }

// add puts a new sequence into the queue.
func (b *batch) add(s *sequence) {
	b.arrivals++
	s.arrival = b.arrivals
	b.wait(s)
}

func (b *batch) wait(s *sequence) {
	at, _ := slices.BinarySearchFunc(b.waiting, s, func(e, target *sequence) int {
		if e.before(target) {
			return -1
		}
		return 1
	})
	b.waiting = slices.Insert(b.waiting, at, s)
}

// remove takes a sequence out and frees its memory.
func (b *batch) remove(s *sequence) {
	same := func(other *sequence) bool { return other == s }
	b.waiting = slices.DeleteFunc(b.waiting, same)
	b.running = slices.DeleteFunc(b.running, same)
	b.memory.release(s)
}

// begin plans the next step and returns its time, or 0 when there is nothing to do.
func (b *batch) begin() time.Duration {
	b.admit()
	tokens := b.planPrefill()
	decoding := b.planDecoding()
	if len(b.running) == 0 {
		return 0
	}
	b.prefilled += tokens
	return b.options.StepTime + time.Duration(decoding)*b.options.SequenceTime + time.Duration(tokens)*b.options.PrefillTime
}

// admit moves sequences from the queue into the batch while there is room. The head of the queue is never overtaken.
func (b *batch) admit() {
	for len(b.waiting) > 0 && len(b.running) < b.options.MaxBatch && b.memory.admit(b.waiting[0]) {
		b.running = append(b.running, b.waiting[0])
		b.waiting = b.waiting[1:]
	}
}

// planPrefill shares the prefill tokens of the step out and returns their number.
func (b *batch) planPrefill() int64 {
	budget := int64(b.options.PrefillTokens)
	for _, s := range b.running {
		s.chunk = min(s.prefill, budget)
		budget -= s.chunk
	}
	return int64(b.options.PrefillTokens) - budget
}

// planDecoding finds memory for the next token of each computed sequence and returns their number. The lowest-priority
// newest sequence is preempted when memory is full; one that is alone ends.
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
			b.preempt(b.worst(order[i:]))
			s.decoding = slices.Contains(b.running, s)
		}
		if s.decoding {
			decoding++
		}
	}
	return decoding
}

// worst returns the last sequence of the order that still runs.
func (b *batch) worst(order []*sequence) *sequence {
	for i := len(order) - 1; i > 0; i-- {
		if slices.Contains(b.running, order[i]) {
			return order[i]
		}
	}
	return order[0]
}

// preempt puts a running sequence back into the queue. Its memory is lost and must be computed again.
func (b *batch) preempt(s *sequence) {
	b.preemptions++
	b.remove(s)
	s.prefill, s.chunk, s.decoding = 0, 0, false
	b.wait(s)
}

// end applies the planned step and returns the sequences that have a new token.
func (b *batch) end() []*sequence {
	var advanced []*sequence
	for _, s := range b.running {
		if s.chunk > 0 {
			s.prefill -= s.chunk
			s.chunk = 0
			if s.prefill == 0 {
				b.memory.store(s)
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
