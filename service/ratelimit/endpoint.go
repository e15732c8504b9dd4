package ratelimit

import (
	"fmt"

	"azuredyke.dev/azuredyke/common/catalog"
)

// Endpoint identifies one incarnation of an endpoint.
type Endpoint struct {
	ID      string `cbor:"1,keyasint"`
	Born    int64  `cbor:"2,keyasint,omitempty"`
	Address string `cbor:"3,keyasint"`
	Service string `cbor:"4,keyasint"`
}

// EndpointOf returns the identity of an endpoint.
func EndpointOf(e *catalog.Endpoint) Endpoint {
	return Endpoint{ID: e.ID, Born: e.Born, Address: e.Address, Service: e.Service}
}

// Catalog returns a catalog entry with the identity only.
func (e Endpoint) Catalog() *catalog.Endpoint {
	return &catalog.Endpoint{ID: e.ID, Born: e.Born, Address: e.Address, Service: e.Service}
}

// key returns the key by which the owner is chosen.
func (e Endpoint) key() string { return fmt.Sprint(e.ID, " ", e.Born, " ", e.Address) }
