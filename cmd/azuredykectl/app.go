package main

import (
	"io"

	"github.com/zeebo/errs"
)

// errUsage is the class of errors in the command line or in a document.
var errUsage = errs.Class("usage")

// app holds what all commands share.
type app struct {
	in          io.Reader
	out, errOut io.Writer
	connection  connection
	output      string
}
