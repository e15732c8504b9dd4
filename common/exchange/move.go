package exchange

// Move says which run is copied where.
type Move struct {
	// Request is the id of the running request.
	Request string
	// Source and Target are the addresses of the endpoints.
	Source string
	Target string
}
