package catalog

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the number of requests that run in one batch.
	Slots int
	// Capacity is the memory of one engine, in tokens.
	Capacity int
	// SupportsMoves is set when the engines can move the memory of a run, SupportsBackups when they can keep copies of it.
	SupportsMoves   bool
	SupportsBackups bool
}
