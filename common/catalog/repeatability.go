package catalog

// Repeatability says how often a request of a route may run.
type Repeatability uint8

const (
	// AtMostOnce is the zero value: the request may run at most once.
	AtMostOnce Repeatability = iota
	// Repeatable means that the request may run any number of times.
	Repeatable
)
