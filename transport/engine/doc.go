// Package engine is the client side of the protocol that endpoints speak: the OpenAI-compatible API with resumable
// streams, cancellation and load reports, and plain HTTP for plain services.
package engine
