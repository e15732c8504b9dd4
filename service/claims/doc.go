// Package claims records requests that may not be repeated, so that each of them runs at most once. ShardManager runs the
// claim shards that this node owns, Shard stores the claims of one shard in batches, and Client sends claims to the owners.
package claims
