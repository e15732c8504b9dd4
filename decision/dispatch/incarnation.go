package dispatch

import "azuredyke.dev/azuredyke/common/catalog"

// incarnation identifies one incarnation of an endpoint.
type incarnation struct {
	id, address, service string
	born                 int64
}

func incarnationOf(e *catalog.Endpoint) incarnation {
	return incarnation{id: e.ID, address: e.Address, service: e.Service, born: e.Born}
}
