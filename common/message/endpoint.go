package message

// Endpoint identifies one backend of a service.
type Endpoint struct {
	// ID is unique and does not change during the lifetime of the backend. It is the address unless the host list contains
	// another id.
	ID string
	// Address is host:port.
	Address    string
	Service    string
	DataCentre string
}
