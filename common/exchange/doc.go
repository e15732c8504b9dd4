// Package exchange defines the requests of callers, the answers of endpoints and the interfaces between them, independent
// of a wire format.
package exchange
