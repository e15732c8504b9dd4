// Package message defines the messages that tasks send to each other, within a node and between nodes.
//
// The types are independent of the encoding; transport/peer encodes them for the wire. Durations are used instead of
// timestamps, because the clocks of two nodes are never compared.
package message
