package quarantine

// Standing says how a request may run.
type Standing uint8

const (
	// Clear requests run as usual.
	Clear Standing = iota
	// Suspect requests run alone on their endpoint.
	Suspect
	// Busy requests are suspects that are running already, and must wait for the outcome of that run.
	Busy
	// Quarantined requests are refused.
	Quarantined
)
