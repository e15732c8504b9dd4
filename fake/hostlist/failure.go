package hostlist

// Failure is the way in which reads of the list fail.
type Failure uint8

const (
	// FailNone serves the list.
	FailNone Failure = iota
	// FailStatus answers with status 503.
	FailStatus
	// FailTruncated serves only the first half of the JSON.
	FailTruncated
	// FailEmpty serves a list without hosts.
	FailEmpty
)
