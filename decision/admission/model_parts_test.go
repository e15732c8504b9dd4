package admission

import (
	"time"

	"azuredyke.dev/azuredyke/common/message"
)

// modelRequest is a request that an endpoint runs.
type modelRequest struct {
	owner  *modelOwner
	number uint64
	// informed is set when the owner knew the endpoint's process when it made the grant, and the data centre has not been
	// out between the grant and the start.
	informed bool
	// silent is set when the gateway died or lost the connection, so that nobody reports the end.
	silent bool
	tokens int
}

// modelEndpoint is the truth about an endpoint.
type modelEndpoint struct {
	id          string
	incarnation int
	running     []*modelRequest
	completed   int
	// base is the completed work that does not count, since the data centre was out afterwards.
	base int
}

// modelOwner is one owner of the cell. The newest one is confirmed unless its lease is in doubt; older ones are not.
type modelOwner struct {
	cell  *Cell
	fence uint64
	// known is the incarnation of each endpoint that the owner was told last.
	known map[string]int
	// start is when grants of the owner may exist at the earliest.
	start time.Time
}

// modelGrant is a grant whose request was not sent yet.
type modelGrant struct {
	owner    *modelOwner
	grant    message.Grant
	at       time.Time
	informed bool
}

// modelReport is a report on its way to an owner.
type modelReport struct {
	owner  *modelOwner
	report message.GrantReport
	due    time.Time
}

// modelLoad is a load report on its way.
type modelLoad struct {
	report message.LoadReport
	number int
	taken  time.Time
}
