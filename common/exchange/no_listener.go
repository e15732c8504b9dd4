package exchange

import "github.com/zeebo/errs"

// ErrNoListener is the class of errors of connections that were refused because no process listens at the address. The process that listened
// there has ended.
var ErrNoListener = errs.Class("no listener")
