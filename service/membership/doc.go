// Package membership runs the membership protocol of this node. Agent probes other members, exchanges changes with them
// and publishes the member table; the rules for the table are in decision/membership.
package membership
