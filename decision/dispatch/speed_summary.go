package dispatch

// SpeedSummary describes the learnt slowdowns of the endpoints of a service.
type SpeedSummary struct {
	Service                  string
	Fastest, Median, Slowest float64
	// Observations is the decayed number of measurements of this node and of the others.
	Observations float64
}
