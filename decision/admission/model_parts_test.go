package admission

import (
	"time"

	"azuredyke.dev/azuredyke/common/message"
)

// modelRequest is a request that runs on an endpoint.
type modelRequest struct {
	owner  *modelOwner
	number uint64
	// current is set when the grant was based on the running incarnation of the endpoint, and the data centre was not
	// out between the grant and the start.
	current bool
	// unreported is set when the gateway crashed or lost the connection, so that its owner receives no further report.
	unreported bool
	tokens     int
}

// modelEndpoint is the actual state of an endpoint.
type modelEndpoint struct {
	id          string
	incarnation int
	running     []*modelRequest
	completed   int
	// uncredited is the number of completions before the last return of the data centre, which raise no limit.
	uncredited int
}

// modelOwner is one owner of the cell. Only the newest owner can have a confirmed lease.
type modelOwner struct {
	cell  *Cell
	fence uint64
	// incarnations holds the incarnation in the last load report of each endpoint.
	incarnations map[string]int
	// activeFrom is the earliest time of the owner's grants.
	activeFrom time.Time
}

// modelGrant is a grant whose request has not been sent yet.
type modelGrant struct {
	owner   *modelOwner
	grant   message.Grant
	at      time.Time
	current bool
}

// modelReport is a grant report in transit to an owner.
type modelReport struct {
	owner  *modelOwner
	report message.GrantReport
	due    time.Time
}

// modelLoad is a load report in transit.
type modelLoad struct {
	report      message.LoadReport
	incarnation int
	taken       time.Time
}
