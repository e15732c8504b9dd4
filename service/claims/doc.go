// Package claims records requests that may not be repeated, so that each runs at most once. Shards runs the claim shards
// that this node owns, Shard writes the claims of one shard in groups, and Client finds the owners.
package claims
