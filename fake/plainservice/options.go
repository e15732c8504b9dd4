package plainservice

import "time"

// Options configures a Server.
type Options struct {
	// Latency is the time for which each call runs.
	Latency time.Duration
	// AnswerBytes is the number of padding bytes in each answer.
	AnswerBytes int
	// HonoursFencing makes the service refuse calls whose fencing token is lower than the highest one received.
	HonoursFencing bool
}
