package overload

import "time"

// Shape is what a waiting request needs of an engine.
type Shape struct {
	Service string
	Rank    Rank
	// Long is set for a run that holds its memory for long.
	Long bool
	// Late is set if the objective can't be reached.
	Late bool
	// Aged is set if the request no longer leaves room for more urgent ones.
	Aged         bool
	FirstEventBy time.Time
	// Tokens is the expected memory, PromptTokens the size of the prompt; both are 0 for plain calls.
	Tokens, PromptTokens int
}

// NeedsNoMoreThan reports whether an engine that has room for o, which is not more urgent, has room for s as well.
func (s *Shape) NeedsNoMoreThan(o *Shape) bool {
	return s.Rank <= o.Rank && s.Late == o.Late && s.Tokens <= o.Tokens && s.PromptTokens <= o.PromptTokens &&
		(o.Long || !s.Long) && (s.Aged || !o.Aged) &&
		(o.Late || s.FirstEventBy.IsZero() || !o.FirstEventBy.IsZero() && !o.FirstEventBy.After(s.FirstEventBy))
}
