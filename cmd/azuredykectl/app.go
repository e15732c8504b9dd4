package main

import (
	"io"

	"github.com/zeebo/errs"
)

// errUsage is the class of errors in the command line or in an input document.
var errUsage = errs.Class("usage")

// app holds the standard streams and the global flags of the command line.
type app struct {
	in           io.Reader
	out, errOut  io.Writer
	connection   connection
	outputFormat string
}
