package settings

import "time"

// EdgeBounds are the limits that hold over all nodes together.
type EdgeBounds struct {
	// Revoke is the time after which a key that was taken away must not be served, at any node.
	Revoke time.Duration `yaml:"revoke"`
	// RetryRatio and RetryAllowance bound the arrivals at a service beyond the first of each request in any RetryWindow.
	RetryRatio     float64       `yaml:"retry_ratio"`
	RetryAllowance float64       `yaml:"retry_allowance"`
	RetryWindow    time.Duration `yaml:"retry_window"`
	// ColdOverage and ColdSlack bound the requests in one second on a cold endpoint: its rate times overage plus slack.
	ColdOverage float64 `yaml:"cold_overage"`
	ColdSlack   float64 `yaml:"cold_slack"`
}
