package router

import "azuredyke.dev/azuredyke/common/message"

// reportBatch is the body of a place.report. A batch may arrive more than once.
type reportBatch struct {
	Reports []message.GrantReport `cbor:"1,keyasint,omitempty"`
	// Cancels holds the tokens of placement requests whose grants are released unused.
	Cancels []uint64 `cbor:"2,keyasint,omitempty"`
}
