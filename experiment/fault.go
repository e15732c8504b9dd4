package experiment

import "time"

// Fault actions.
const (
	ActionTakeOut   = "take_out"
	ActionBringBack = "bring_back"
	ActionCrash     = "crash"
	ActionTurnCold  = "turn_cold"
)

// Fault is a fault that is injected at a fixed time.
type Fault struct {
	// At is the time after the start of the load.
	At     time.Duration `yaml:"at"`
	Action string        `yaml:"action"`
	// DataCentre is the target of take_out and bring_back. The target of crash and turn_cold is its first engine.
	DataCentre string `yaml:"data_centre"`
}
