package settings

import "time"

// Placement policies.
const (
	// PolicyAzuredyke places by expected memory use and time between tokens.
	PolicyAzuredyke = "azuredyke"
	// PolicyLeastOutstanding places on the endpoint with the fewest requests in flight.
	PolicyLeastOutstanding = "least_outstanding"
	// PolicyRoundRobin places on the endpoints in turn.
	PolicyRoundRobin = "round_robin"
)

// Dispatch configures the cells.
type Dispatch struct {
	Policy string `yaml:"policy"`
	// StartWithin is the time for which a grant is valid. It must be the same on all nodes.
	StartWithin time.Duration `yaml:"start_within"`
	// LeaseTTL is the time to live of a node's lease; RenewInterval must be at most a third of it.
	LeaseTTL      time.Duration `yaml:"lease_ttl"`
	RenewInterval time.Duration `yaml:"renew_interval"`
	// LoadInterval is the interval at which the load report of each endpoint is read; LoadTimeout bounds each read.
	LoadInterval time.Duration `yaml:"load_interval"`
	LoadTimeout  time.Duration `yaml:"load_timeout"`
	// SuspectAfter is the time to the first token after which an endpoint becomes suspect.
	SuspectAfter time.Duration `yaml:"suspect_after"`
	// StallAfter is the shortest time without a token after which a stream is resumed.
	StallAfter time.Duration `yaml:"stall_after"`
	// ConnectTimeout bounds the time to connect to an endpoint.
	ConnectTimeout time.Duration `yaml:"connect_timeout"`
	// MaxQueuePerCell bounds the requests that are queued in one cell.
	MaxQueuePerCell int `yaml:"max_queue_per_cell"`
	// EndpointFailures is the number of consecutive failed load reports after which an endpoint gets no new requests.
	EndpointFailures int `yaml:"endpoint_failures"`
}
