package ratelimit

import "azuredyke.dev/azuredyke/decision/limit"

// Question asks the owner of an endpoint's budget for one request.
type Question struct {
	Endpoint Endpoint  `cbor:"1,keyasint"`
	Ask      limit.Ask `cbor:"2,keyasint"`
}
