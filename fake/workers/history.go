package workers

// History holds the arrivals and the runs at all workers, each in order.
type History struct {
	Arrivals []Arrival
	Runs     []Run
}
