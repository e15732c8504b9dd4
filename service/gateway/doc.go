// Package gateway serves the requests of callers to the OpenAI-compatible API and to plain services. A session is the task
// of one caller request: it owns the caller's connection and receives the parts of the answer from the streams of package
// engine.
package gateway
