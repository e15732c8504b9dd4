// Package peer provides the links between nodes: calls and notices as CBOR envelopes in WebSocket binary frames.
//
// A Hub is one task that knows the links of a node. Each link is one task that owns its connection, with a reader and a
// writer goroutine that exchange messages with it. A link is used in one direction: the side that dialled it sends
// requests, and the other side answers.
//
// Both sides prove at connection set-up that they know the shared secret. The frames that follow are protected only if
// TLS is configured.
package peer
