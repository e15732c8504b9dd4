// Package httpclient is the HTTP/1.1 transport of the clients of endpoints. An endpoint may fail at any byte of its answer, so the
// transport is stricter than net/http about what counts as an answer.
package httpclient
