package dispatch

import "time"

// Params holds the limits that apply to all nodes together, and the data centre of this node.
type Params struct {
	// DataCentre is the data centre of this node.
	DataCentre string
	// RetryRatio and RetryAllowance limit the repeats in RetryWindow: the arrivals of a request after its first.
	RetryRatio     float64
	RetryAllowance float64
	RetryWindow    time.Duration
	// ColdOverage and ColdSlack limit the requests per second on a cold endpoint to rate times overage plus slack.
	ColdOverage float64
	ColdSlack   float64
	// EndpointSpeed places requests by the measured speed of the endpoints, also on services whose endpoints don't state it.
	EndpointSpeed bool
	// OrderedAdmission limits what requests may take of the engines, so that the others wait at the nodes.
	OrderedAdmission bool
	// PromptAffinity prefers engines that are likely to have the beginning of a prompt cached.
	PromptAffinity bool
	// CanaryShare is the share of a service's requests that the target of a roll-out gets while it is observed.
	CanaryShare float64
}
