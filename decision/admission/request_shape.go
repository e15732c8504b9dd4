package admission

import "azuredyke.dev/azuredyke/common/message"

// requestShape is the key of requests that differ only in the length of their prompts.
type requestShape struct {
	workspace, model string
	maxTokens        int
}

func requestShapeOf(r *message.PlaceRequest) requestShape {
	return requestShape{workspace: r.Workspace, model: r.Model, maxTokens: r.MaxTokens}
}
