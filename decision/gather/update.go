package gather

import "azuredyke.dev/azuredyke/decision/dispatch"

// Update tells a receiver the loads that have changed, each as it is now. Updates may arrive in another order than they were
// sent in, or not at all; a full one makes up for that.
type Update struct {
	// Epoch is drawn anew by each process that sends.
	Epoch uint64 `cbor:"1,keyasint"`
	// Seq grows with each update of an epoch.
	Seq uint64 `cbor:"2,keyasint"`
	// Full is set when endpoints that are not listed have no load.
	Full  bool            `cbor:"3,keyasint,omitempty"`
	Loads []dispatch.Load `cbor:"4,keyasint,omitempty"`
}
