// Package operator serves the operator API. It translates between the RPC types and the decision types, and leaves every
// decision to the tasks behind it.
package operator
