// Package etcd uses a key-value service that speaks the published etcd v3 API, over gRPC.
//
// Errors follow backing.KV: a failed write is backing.ErrUnavailable only when it is proven that it had no effect, and
// backing.ErrUnknownOutcome otherwise.
package etcd
