package experiment

import "time"

// Workload describes the requests of a load.
type Workload struct {
	// Model is the model of all completion requests.
	Model string `yaml:"model"`
	// RequestsPerSecond is the mean arrival rate of completion requests. If it is 0, Scenario.Utilisation determines the rate.
	RequestsPerSecond float64 `yaml:"requests_per_second"`
	// Duration is the length of the period in which requests arrive. The load ends after the requests in flight have ended.
	Duration time.Duration `yaml:"duration"`
	// Warmup is the length of the initial period whose requests are not measured.
	Warmup     time.Duration       `yaml:"warmup"`
	Classes    []Class             `yaml:"classes"`
	Workspaces []WorkspaceWorkload `yaml:"workspaces"`
	// Orders describes the calls to a plain service. There are none if the name of the service is empty.
	Orders OrderWorkload `yaml:"orders"`
	// StallThreshold is the longest interval between two tokens that is not a stall. The excess over the threshold counts as
	// stall time.
	StallThreshold time.Duration `yaml:"stall_threshold"`
}
