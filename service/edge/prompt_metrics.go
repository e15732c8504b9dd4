package edge

import (
	"github.com/uber-go/tally/v4"

	"azuredyke.dev/azuredyke/decision/dispatch"
)

// promptMetrics show how much of the prompts is expected to be cached. They belong to the dispatcher task.
type promptMetrics struct {
	scope tally.Scope
}

// record counts a placed request whose prompt consists of known parts.
func (m promptMetrics) record(r *dispatch.Request, placed *dispatch.Placement) {
	if len(r.Prompt) == 0 {
		return
	}
	m.scope.Counter("prompt_tokens").Inc(int64(r.PromptTokens))
	m.scope.Counter("cached_tokens_expected").Inc(int64(placed.CachedTokens))
}
