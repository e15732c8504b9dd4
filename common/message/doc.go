// Package message holds the typed messages that tasks send to each other, within a node and between nodes.
//
// The types carry no encoding; transport/peer translates them for the wire. Durations are relative, since the clocks of
// two nodes are never compared.
package message
