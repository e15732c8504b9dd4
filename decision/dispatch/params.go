package dispatch

import "time"

// Params are the bounds that hold over all nodes, and what this node knows of them.
type Params struct {
	// DataCentre is that of this node.
	DataCentre string
	// RetryRatio and RetryAllowance bound the arrivals beyond the first of each request in RetryWindow.
	RetryRatio     float64
	RetryAllowance float64
	RetryWindow    time.Duration
	// ColdOverage and ColdSlack bound the requests in one second on a cold endpoint: rate times overage plus slack.
	ColdOverage float64
	ColdSlack   float64
}
