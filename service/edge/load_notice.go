package edge

import "azuredyke.dev/azuredyke/decision/dispatch"

// loadNotice tells another node what this one has in flight.
type loadNotice struct {
	Loads []dispatch.Load `cbor:"1,keyasint"`
}
