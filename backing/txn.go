package backing

// Txn is a compare-and-swap over several keys, with at most 100 writes.
type Txn struct {
	Conditions []Condition
	Writes     []Write
}
