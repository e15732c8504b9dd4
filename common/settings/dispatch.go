package settings

import "time"

// Placement policies.
const (
	// PolicyAzuredyke places by expected memory and time between tokens.
	PolicyAzuredyke = "azuredyke"
	// PolicyLeastOutstanding places on the endpoint with the fewest requests in flight.
	PolicyLeastOutstanding = "least_outstanding"
	// PolicyRoundRobin places on the endpoints in turn.
	PolicyRoundRobin = "round_robin"
)

// Dispatch configures the cells.
type Dispatch struct {
	Policy string `yaml:"policy"`
	// StartWithin is how long a grant is valid. It must be the same on all nodes.
	StartWithin time.Duration `yaml:"start_within"`
	// LeaseTTL is the time to live of a node's lease; RenewInterval must be at most a third of it.
	LeaseTTL      time.Duration `yaml:"lease_ttl"`
	RenewInterval time.Duration `yaml:"renew_interval"`
	// LoadInterval is how often each endpoint's load report is read; LoadTimeout bounds each read.
	LoadInterval time.Duration `yaml:"load_interval"`
	LoadTimeout  time.Duration `yaml:"load_timeout"`
	// SuspectAfter is the time to the first token after which an endpoint becomes suspect.
	SuspectAfter time.Duration `yaml:"suspect_after"`
	// StallAfter is the shortest time without a token after which a stream is resumed.
	StallAfter time.Duration `yaml:"stall_after"`
	// ConnectTimeout bounds the time to connect to an endpoint.
	ConnectTimeout time.Duration `yaml:"connect_timeout"`
	// MaxQueuePerCell bounds the requests that wait in one cell.
	MaxQueuePerCell int `yaml:"max_queue_per_cell"`
	// EndpointFailures is the number of failed load reports in a row after which an endpoint gets no new work.
	EndpointFailures int `yaml:"endpoint_failures"`
}
