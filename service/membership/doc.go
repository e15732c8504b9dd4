// Package membership runs the membership of this node: Task probes other members, exchanges changes with them and
// publishes the member table. What it believes is decided in decision/membership.
package membership
