package rollout

import (
	"cmp"
	"strings"
)

// TallyEntry holds the counts of one group on one route.
type TallyEntry struct {
	Group Group  `cbor:"1,keyasint"`
	Route string `cbor:"2,keyasint"`
	// Sends is the number of requests that were sent, Answers the number of those whose outcome is known, Failures the number of
	// failures among them.
	Sends    int64 `cbor:"3,keyasint,omitempty"`
	Answers  int64 `cbor:"4,keyasint,omitempty"`
	Failures int64 `cbor:"5,keyasint,omitempty"`
	// FirstEvents and Intervals count answers by duration, in bins of a fixed geometric width.
	FirstEvents []int64 `cbor:"6,keyasint,omitempty"`
	Intervals   []int64 `cbor:"7,keyasint,omitempty"`
}

// compare orders entries by group and route.
func (e TallyEntry) compare(o TallyEntry) int {
	return cmp.Or(cmp.Compare(e.Group, o.Group), strings.Compare(e.Route, o.Route))
}
