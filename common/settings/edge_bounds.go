package settings

import "time"

// EdgeBounds holds the limits that apply to all nodes together.
type EdgeBounds struct {
	// Revoke is the time after which no node accepts a revoked API key.
	Revoke time.Duration `yaml:"revoke"`
	// RetryRatio and RetryAllowance bound the attempts at a service, other than the first of each request, in any
	// RetryWindow.
	RetryRatio     float64       `yaml:"retry_ratio"`
	RetryAllowance float64       `yaml:"retry_allowance"`
	RetryWindow    time.Duration `yaml:"retry_window"`
	// ColdOverage and ColdSlack bound the requests to a cold endpoint in one second: its rate times ColdOverage, plus
	// ColdSlack.
	ColdOverage float64 `yaml:"cold_overage"`
	ColdSlack   float64 `yaml:"cold_slack"`
	// ExposureShare and ExposureSlack bound the requests to a version that is being rolled out and may be bad: this share of the
	// service's requests, plus ExposureSlack. Rollback is the time after the 50th bad answer within which they must stop.
	ExposureShare float64       `yaml:"exposure_share"`
	ExposureSlack float64       `yaml:"exposure_slack"`
	Rollback      time.Duration `yaml:"rollback"`
}
