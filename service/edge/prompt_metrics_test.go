package edge

import (
	"testing"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"azuredyke.dev/azuredyke/decision/dispatch"
	"azuredyke.dev/azuredyke/decision/prefix"
)

// Guards against a share of cached tokens that counts prompts whose parts are unknown.
func TestPromptMetricsCountPromptsWithParts(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	m := promptMetrics{scope: scope}
	m.record(&dispatch.Request{PromptTokens: 500}, &dispatch.Placement{})
	m.record(&dispatch.Request{PromptTokens: 300, Prompt: prefix.Chain(nil).Append("a", 300)}, &dispatch.Placement{CachedTokens: 120.4})
	counters := scope.Snapshot().Counters()
	assert.Equal(t, counters["prompt_tokens+"].Value(), int64(300))
	assert.Equal(t, counters["cached_tokens_expected+"].Value(), int64(120))
}
