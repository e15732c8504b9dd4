package message

// Endpoint identifies one back end of a service.
type Endpoint struct {
	// ID is unique and stable for the life of the back end; it is its address unless the host list gives another.
	ID string
	// Address is host:port.
	Address    string
	Service    string
	DataCentre string
}
