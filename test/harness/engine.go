package harness

import "azuredyke.dev/azuredyke/fake/engine"

// Engine is a model engine behind a link.
type Engine struct {
	*engine.Server
	Link       *Link
	DataCentre string
	host       *host
}

// Kill ends the engine for good: its connections close, and new ones are refused.
func (e *Engine) Kill() {
	e.host.kill()
	e.Link.Cut()
}
