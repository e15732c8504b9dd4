package configuration

import (
	"context"

	"azuredyke.dev/azuredyke/decision/config"
)

// changeRequest is the message that asks the Changer for one change.
type changeRequest struct {
	// ctx is the context of the operator's call. The Changer starts no change after ctx has ended.
	ctx    context.Context
	change config.Change
	// started is closed before the Changer checks ctx for the first time.
	started chan<- struct{}
	reply   chan<- changeReply
}

// changeReply is the reply to a changeRequest.
type changeReply struct {
	accepted AcceptedChange
	err      error
}
