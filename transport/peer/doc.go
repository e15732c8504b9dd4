// Package peer provides the links between nodes: calls and notices as CBOR envelopes in WebSocket binary frames.
//
// A Hub is the task that manages the links of a node. Each link is a task that owns one connection, with a reader and a
// writer goroutine that exchange messages with the task. Requests go in one direction: the side that dialled the link sends
// requests, and the other side replies.
//
// At connection set-up both sides prove possession of the shared secret. The later frames are protected only if TLS is
// configured.
package peer
