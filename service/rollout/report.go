package rollout

// Report holds the counts of one process, which replace its earlier ones.
type Report struct {
	Node string `cbor:"1,keyasint"`
	// Epoch identifies the process, and Sequence orders its reports.
	Epoch    uint64          `cbor:"2,keyasint"`
	Sequence uint64          `cbor:"3,keyasint"`
	Services []ServiceReport `cbor:"4,keyasint,omitempty"`
}
