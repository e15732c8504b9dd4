package harness

import "azuredyke.dev/azuredyke/fake/plainservice"

// PlainEndpoint is a fake endpoint of the plain service, which nodes reach through a link.
type PlainEndpoint struct {
	*plainservice.Server
	Link        *Link
	DataCentre  string
	localServer *localServer
}

// Kill stops the endpoint permanently: its connections are closed and new ones are refused.
func (p *PlainEndpoint) Kill() {
	p.localServer.kill()
	p.Link.Cut()
}
