package harness

import "azuredyke.dev/azuredyke/fake/plainservice"

// Plain is a plain service behind a link.
type Plain struct {
	*plainservice.Server
	Link       *Link
	DataCentre string
	host       *host
}

// Kill ends the service for good: its connections close, and new ones are refused.
func (p *Plain) Kill() {
	p.host.kill()
	p.Link.Cut()
}
