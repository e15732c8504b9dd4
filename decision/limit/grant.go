package limit

import "time"

// Grant is the answer to an Ask.
type Grant struct {
	Granted bool `cbor:"1,keyasint,omitempty"`
	// RetryAfter is the time after which the node may ask again if the request was not granted.
	RetryAfter time.Duration `cbor:"2,keyasint,omitempty"`
}
