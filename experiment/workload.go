package experiment

import "time"

// Workload describes the load.
type Workload struct {
	// Model is the model that all completion requests name.
	Model string `yaml:"model"`
	// RequestsPerSecond is the mean arrival rate; 0 derives it from Scenario.Utilisation.
	RequestsPerSecond float64 `yaml:"requests_per_second"`
	// Duration is how long requests arrive; running ones are waited for.
	Duration time.Duration `yaml:"duration"`
	// Warmup is the time at the start whose requests are not measured.
	Warmup     time.Duration       `yaml:"warmup"`
	Classes    []Class             `yaml:"classes"`
	Workspaces []WorkspaceWorkload `yaml:"workspaces"`
	// Orders describes calls to a plain service; no calls when its service is empty.
	Orders OrderWorkload `yaml:"orders"`
	// StallThreshold is the interval between two tokens above which the excess counts as stall time.
	StallThreshold time.Duration `yaml:"stall_threshold"`
}
