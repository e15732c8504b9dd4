// Package gateway serves callers: the OpenAI-compatible API and plain services. A session is the task of one caller
// request; it owns the caller's connection and is fed by the streams of package engine.
package gateway
