// Package engine is a fake model engine for tests. It simulates continuous batching, block memory with a prefix cache,
// priorities and cold starts, and serves the HTTP protocol of package transport/engine.
//
// The task of a Server owns the state. A generation continues to run after its connection breaks. It is cancelled on
// request, or when no reader has been attached for Options.DetachGrace.
//
// Every four bytes of text count as one token. The prompt of a chat request is "role: content\n" for each message.
package engine
