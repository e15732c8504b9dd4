package quarantine

// Standing says how a request may run. The values are ordered by severity.
type Standing uint8

const (
	// Clear requests run as usual.
	Clear Standing = iota
	// Suspect requests run as a trial: no other request with the same suspect fingerprint runs at the same time.
	Suspect
	// Busy requests are suspects that must wait for the outcome of another trial.
	Busy
	// Quarantined requests are refused.
	Quarantined
)

// String returns the text that is used in logs.
func (s Standing) String() string {
	switch s {
	case Suspect:
		return "suspect"
	case Busy:
		return "busy"
	case Quarantined:
		return "quarantined"
	default:
		return "clear"
	}
}
