// Package engine is the client of the endpoint protocol: the OpenAI-compatible API with resumable streams, cancellation and
// load reports, and plain HTTP for plain services.
package engine
