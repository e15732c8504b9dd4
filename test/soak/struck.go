package soak

// struck is a fault that was brought about.
type struck struct {
	fault
	span
	// worker is the worker that was struck.
	worker string
}
