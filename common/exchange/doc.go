// Package exchange holds a caller's request and an endpoint's answer, free of any wire format.
package exchange
