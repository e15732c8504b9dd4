package backing

// Write puts or deletes one key.
type Write struct {
	Key    string
	Value  []byte
	Lease  LeaseID
	Delete bool
}
