package hostlist

// Failure says how the list fails to be read.
type Failure uint8

const (
	// FailNone serves the list.
	FailNone Failure = iota
	// FailStatus answers 503.
	FailStatus
	// FailDamaged cuts the JSON short.
	FailDamaged
	// FailEmpty shows a list without hosts.
	FailEmpty
)
