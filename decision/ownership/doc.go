// Package ownership decides whether a node may act as the owner of a cell or a claim shard. It has no I/O and no clock.
package ownership
