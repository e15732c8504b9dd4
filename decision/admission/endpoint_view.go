package admission

import "azuredyke.dev/azuredyke/common/message"

// EndpointView shows one endpoint to operators.
type EndpointView struct {
	Endpoint message.Endpoint
	State    State
	Limit    int
	InFlight int
	// Inherited is the part of InFlight that was granted by earlier owners.
	Inherited int
	Load      message.LoadReport
}
