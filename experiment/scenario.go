package experiment

import (
	"bytes"
	"os"
	"time"

	"github.com/zeebo/errs"
	"go.yaml.in/yaml/v3"
)

// Error is the class of errors of this package.
var Error = errs.Class("experiment")

// Scenario describes a site, its load and the faults to inject.
type Scenario struct {
	Name string `yaml:"name"`
	// Nodes is the number of in-process nodes.
	Nodes       int              `yaml:"nodes"`
	DataCentres []DataCentreSpec `yaml:"data_centres"`
	Engine      EngineSpec       `yaml:"engine"`
	// Utilisation is the load as a fraction of the output token capacity of all engines, from 0 to 2. It applies only if
	// Workload.RequestsPerSecond is 0.
	Utilisation float64  `yaml:"utilisation"`
	Workload    Workload `yaml:"workload"`
	Faults      []Fault  `yaml:"faults"`
}

// Limits on the size of an experiment, so that it cannot exhaust the resources of the machine.
const (
	maxNodes     = 32
	maxEndpoints = 200
	maxDuration  = time.Hour
)

// LoadScenario reads and validates a YAML scenario file. Unknown keys are errors.
func LoadScenario(path string) (Scenario, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Scenario{}, Error.Wrap(err)
	}
	var s Scenario
	if err := decodeStrict(data, &s); err != nil {
		return Scenario{}, Error.New("%s: %w", path, err)
	}
	return s, s.validate()
}

func decodeStrict(data []byte, target any) error {
	decoder := yaml.NewDecoder(bytes.NewReader(data))
	decoder.KnownFields(true)
	return decoder.Decode(target)
}

func (s Scenario) validate() error {
	endpoints := 0
	for _, dc := range s.DataCentres {
		endpoints += dc.Engines + dc.PlainEndpoints
	}
	switch {
	case s.Nodes < 1 || s.Nodes > maxNodes:
		return Error.New("nodes must be from 1 to %d", maxNodes)
	case endpoints == 0 || endpoints > maxEndpoints:
		return Error.New("the data centres must have from 1 to %d endpoints in total", maxEndpoints)
	case s.Workload.Duration <= 0 || s.Workload.Duration > maxDuration:
		return Error.New("workload.duration must be above 0 and at most %s", maxDuration)
	case s.Utilisation < 0 || s.Utilisation > 2:
		return Error.New("utilisation must be from 0 to 2")
	case len(s.Workload.Workspaces) == 0:
		return Error.New("workload.workspaces must not be empty")
	}
	return nil
}
