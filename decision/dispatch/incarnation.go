package dispatch

// incarnation identifies one incarnation of an endpoint.
type incarnation struct {
	id, address, service string
	born                 int64
}
