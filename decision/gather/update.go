package gather

import "azuredyke.dev/azuredyke/decision/dispatch"

// Update holds the current values of the loads that have changed. Updates may be reordered or lost; the next full update
// corrects the effect.
type Update struct {
	// Epoch identifies the process of the sender.
	Epoch uint64 `cbor:"1,keyasint"`
	// Seq increases with each update of an epoch.
	Seq uint64 `cbor:"2,keyasint"`
	// Full is set when endpoints that are not listed have no load.
	Full  bool            `cbor:"3,keyasint,omitempty"`
	Loads []dispatch.Load `cbor:"4,keyasint,omitempty"`
}
