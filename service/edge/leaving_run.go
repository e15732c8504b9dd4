package edge

// leavingRun is an open run whose session wants to know when its endpoint leaves.
type leavingRun struct {
	endpoint string
	service  string
	notify   chan<- struct{}
}
