package quarantine

import "time"

// lateOptions are the parameters of one play of the simulation of late crashes.
type lateOptions struct {
	seed           uint64
	nodes, engines int
	// rate is the number of sound streams per second, deadlyRate that of new deadly requests.
	rate, deadlyRate float64
	// crashAfter is the time from the begin of a deadly run to the crash of its engine.
	crashAfter time.Duration
	// failureRate is the rate at which each engine fails by itself, per second.
	failureRate float64
	// powerCuts are the times at which powerCut engines fail at once.
	powerCuts []time.Duration
	powerCut  int
	policy    latePolicy
}
