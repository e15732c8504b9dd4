package configuration

import (
	"context"

	"azuredyke.dev/azuredyke/decision/config"
)

// changeRequest asks the Changer for one change.
type changeRequest struct {
	// ctx is that of the operator's call; the change is not started after it has ended.
	ctx    context.Context
	change config.Change
	// taken is closed before the Changer looks at ctx for the first time.
	taken chan<- struct{}
	reply chan<- changeReply
}

// changeReply answers a changeRequest.
type changeReply struct {
	accepted Accepted
	err      error
}
