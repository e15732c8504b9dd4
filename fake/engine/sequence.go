package engine

import (
	"time"

	"azuredyke.dev/azuredyke/common/latest"
)

// sequence is the state of one generation. It is owned by the task; readers use the embedded generation.
type sequence struct {
	*generation
	priority int
	// arrival numbers the sequences in the order of arrival.
	arrival int64
	// length is the number of tokens after which the generation ends.
	length   int
	produced int
	// finishReason is "stop", or "length" if the request's token bound or the memory limits the answer.
	finishReason string

	// prefill is the number of tokens that must still be computed before the next token.
	prefill int64
	// chunk is the number of prefill tokens that the current step computes.
	chunk int64
	// privateBlocks is the number of blocks outside the prefix cache that this sequence uses.
	privateBlocks int64
	// sharedBlocks holds the hashes of the prefix-cache blocks that this sequence references.
	sharedBlocks []uint64
	// decoding is set if the current step produces a token.
	decoding bool

	state    generationState
	endedAt  time.Time
	attached int
	// detachedAt is the time at which a reader last detached.
	detachedAt time.Time
}

// before reports whether s is served before other: the higher priority first, then the earlier arrival.
func (s *sequence) before(other *sequence) bool {
	if s.priority != other.priority {
		return s.priority > other.priority
	}
	return s.arrival < other.arrival
}

// publish publishes the progress to the readers.
func (s *sequence) publish() {
	s.progress.Publish(progress{produced: s.produced, state: s.state, finishReason: s.finishReason})
}

// generation is the part of a sequence that any goroutine may read. Only progress changes.
type generation struct {
	id           string
	model        string
	chat         bool
	includeUsage bool
	created      int64
	prompt       prompt
	progress     *latest.Value[progress]
}
