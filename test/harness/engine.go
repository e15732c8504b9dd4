package harness

import "azuredyke.dev/azuredyke/fake/engine"

// Engine is a fake model engine that nodes reach through a link.
type Engine struct {
	*engine.Server
	Link        *Link
	DataCentre  string
	localServer *localServer
}

// Kill stops the engine permanently: its connections are closed and new ones are refused.
func (e *Engine) Kill() {
	e.localServer.kill()
	e.Link.Cut()
}
