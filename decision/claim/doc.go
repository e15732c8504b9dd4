// Package claim decides whether a request that must not be repeated may be sent. It has no I/O, no clock and no encoding.
//
// A Set holds the claims of one claim shard, on the shard's owner. Each change of a Set is a Record, which takes effect
// once it is durable. Replaying all records in order rebuilds the Set.
package claim
