package workers

// History is all that the workers have seen, in order.
type History struct {
	Arrivals []Arrival
	Runs     []Run
}
