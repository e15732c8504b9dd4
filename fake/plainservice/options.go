package plainservice

import "time"

// Options configures a Server.
type Options struct {
	// Latency is the time that each call runs.
	Latency time.Duration
	// AnswerBytes is the least size of an answer; shorter ones are padded.
	AnswerBytes int
	// HonoursFencing refuses calls whose fencing number is older than the newest one seen.
	HonoursFencing bool
}
