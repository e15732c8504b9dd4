package overload

import "time"

// Shape is what a waiting request needs of an engine.
type Shape struct {
	Service string
	// Level is the priority after ageing.
	Level int
	// Late is set if the objective can't be reached.
	Late         bool
	FirstEventBy time.Time
	// Tokens is the expected memory, PromptTokens the size of the prompt; both are 0 for plain calls.
	Tokens, PromptTokens int
}

// NeedsNoMoreThan reports whether an engine that has room for o, which is not more urgent, has room for s as well.
func (s *Shape) NeedsNoMoreThan(o *Shape) bool {
	return s.Level <= o.Level && s.Late == o.Late && s.Tokens <= o.Tokens && s.PromptTokens <= o.PromptTokens &&
		s.Tokens-s.PromptTokens <= o.Tokens-o.PromptTokens &&
		(o.Late || s.FirstEventBy.IsZero() || !o.FirstEventBy.IsZero() && !o.FirstEventBy.After(s.FirstEventBy))
}
