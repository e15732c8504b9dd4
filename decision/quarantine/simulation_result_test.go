package quarantine

import "fmt"

// simulationResult counts what users would notice.
type simulationResult struct {
	enginesLost int
	// sentLate counts the sends of deadly requests later than contactTime after the fifth crash.
	sentLate int
	// soundQuarantined counts the sound requests that were refused for a quarantined part, soundRefused also those that waited
	// for a trial for too long.
	sound, soundRefused, soundQuarantined int
}

func (r simulationResult) String() string {
	return fmt.Sprintf("engines lost %d, deadly sent late %d, sound %d, of these refused %d, for a quarantine %d",
		r.enginesLost, r.sentLate, r.sound, r.soundRefused, r.soundQuarantined)
}
