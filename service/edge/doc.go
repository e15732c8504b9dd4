// Package edge runs a node between callers and a set of endpoints that it shares with other nodes. A node keeps no
// persistent state of its own: the platform's store holds all of it.
//
// The follower task reads the store and sends changes to the view task, which owns the node's copy of the store and
// publishes the cluster state. The dispatcher task owns placement and notifies sessions through channels. Each request is
// a session in the goroutine of its caller. The peers task exchanges load with the other nodes, and the resyncer task
// fetches changes of the store from them. The buffer keeper task divides the memory for events that callers have not read.
package edge

import "github.com/zeebo/errs"

// Error is the class of the errors of this package.
var Error = errs.Class("edge")
