// Package edge runs a node that stands between callers and endpoints which it shares with other nodes, and that keeps
// nothing: what must last is in the platform's store.
//
// The follower reads the store and hands changes to the view task, which owns the node's copy and publishes knowledge. The
// dispatcher task owns placement and reaches sessions through channels. Each request is a session in the goroutine of its
// caller. The peers task exchanges load and changes with the other nodes.
package edge

import "github.com/zeebo/errs"

// Error is the class of the errors of this package.
var Error = errs.Class("edge")
