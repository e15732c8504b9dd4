// Package etcd implements backing.KV with the public etcd v3 API over gRPC.
//
// A failed write returns backing.ErrUnavailable only if it certainly had no effect. If it may have had an effect, it returns
// backing.ErrUnknownOutcome.
package etcd
