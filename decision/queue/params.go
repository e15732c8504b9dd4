package queue

import "time"

// defaultAgeStep raises the lowest class to the highest within 18 s.
const defaultAgeStep = 2 * time.Second

// Params configures a Queue.
type Params struct {
	// Max bounds the waiting items.
	Max int
	// AgeStep is the time without service after which the oldest item of a workspace moves up by one class; 0 means 2 s.
	AgeStep time.Duration
}

func (p Params) ageStep() time.Duration {
	if p.AgeStep <= 0 {
		return defaultAgeStep
	}
	return p.AgeStep
}
