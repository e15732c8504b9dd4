package admission

// Counts holds totals since NewCell.
type Counts struct {
	Grants int64
	// Preemptions counts the preemptions in the load reports of the cell's endpoints.
	Preemptions int64
	// Released counts the grants that were closed because load reports showed that their work was gone.
	Released int64
}
