package engine

import (
	"time"

	"azuredyke.dev/azuredyke/common/latest"
)

// sequence is the state of one generation. The task owns it; readers use the generation.
type sequence struct {
	*generation
	priority int
	// arrival orders the sequences by age.
	arrival int64
	// length is the number of tokens after which the generation ends.
	length   int
	produced int
	// finishReason is "stop", or "length" when a bound is shorter than the drawn length.
	finishReason string

	// prefill is the number of tokens that must still be computed before the next token.
	prefill int64
	// chunk is the part of prefill that the present step computes.
	chunk int64
	// private is the number of blocks that only this sequence uses.
	private int64
	// shared holds the blocks of the prefix cache that this sequence refers to.
	shared []uint64
	// decoding is set when the present step gives a token.
	decoding bool

	ending   ending
	endedAt  time.Time
	attached int
	// detachedAt is when the last reader left.
	detachedAt time.Time
}

// before reports whether s is served before other: by priority, then by age.
func (s *sequence) before(other *sequence) bool {
	if s.priority != other.priority {
		return s.priority > other.priority
	}
	return s.arrival < other.arrival
}

// publish shows the state to the readers.
func (s *sequence) publish() {
	s.progress.Publish(progress{produced: s.produced, ending: s.ending, finishReason: s.finishReason})
}

// generation is the part of a sequence that any goroutine may read.
type generation struct {
	id           string
	model        string
	chat         bool
	includeUsage bool
	created      int64
	prompt       prompt
	progress     *latest.Value[progress]
}
