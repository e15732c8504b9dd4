// Package claim decides which requests that may not be repeated may be sent. It has no I/O, no clock and no encoding.
//
// A Set is what the owner of a claim shard knows. Each change of it is a Record, which counts only once it is durable;
// replaying all records in order gives the set again.
package claim
