package overload

// WaitingClass is the demand of the requests of one rank that wait for a service.
type WaitingClass struct {
	Service string `cbor:"1,keyasint"`
	// Rank is that of the requests, as WaitingRequest.Rank returns it.
	Rank Rank `cbor:"2,keyasint"`
	// Long is set for runs that hold their memory for long.
	Long   bool   `cbor:"4,keyasint,omitempty"`
	Demand Demand `cbor:"3,keyasint"`
}
