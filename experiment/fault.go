package experiment

import "time"

// Actions of faults.
const (
	ActionTakeOut   = "take_out"
	ActionBringBack = "bring_back"
	ActionCrash     = "crash"
	ActionTurnCold  = "turn_cold"
)

// Fault is an event at a time after the start of the load.
type Fault struct {
	At     time.Duration `yaml:"at"`
	Action string        `yaml:"action"`
	// DataCentre is the target of take_out and bring_back; crash and turn_cold hit its first engine.
	DataCentre string `yaml:"data_centre"`
}
