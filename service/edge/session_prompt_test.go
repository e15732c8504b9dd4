package edge

import (
	"testing"

	"gotest.tools/v3/assert"

	"azuredyke.dev/azuredyke/common/catalog"
	"azuredyke.dev/azuredyke/common/exchange"
	"azuredyke.dev/azuredyke/common/settings"
	"azuredyke.dev/azuredyke/decision/prefix"
)

// Guards against parts of prompts, or the setting, that do not reach the placement.
func TestPromptPartsReachPlacement(t *testing.T) {
	s := session{route: &catalog.Route{}, request: &exchange.Request{
		PromptTokens: 300, MaxTokens: 100, PromptParts: []exchange.PromptPart{{ID: "a", Tokens: 200}, {ID: "b", Tokens: 100}},
	}}
	assert.DeepEqual(t, s.placement().Prompt, prefix.Chain(nil).Append("a", 200).Append("b", 100))
	e := settings.Edge{}
	assert.Assert(t, !dispatchParams(e).PromptAffinity)
	e.Features.PromptAffinity = true
	assert.Assert(t, dispatchParams(e).PromptAffinity)
}
