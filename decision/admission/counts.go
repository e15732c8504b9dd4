package admission

// Counts are totals since a cell began.
type Counts struct {
	Grants int64
	// Preemptions are those that the load reports of the cell's endpoints told of.
	Preemptions int64
	// Released are the grants that load reports showed to be gone.
	Released int64
}
