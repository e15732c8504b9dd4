// Package engine is a stand-in for a model engine: continuous batching, block memory with a prefix cache, priorities,
// cold starts, and the HTTP protocol of package transport/engine.
//
// The task of a Server owns the state. A generation runs on when its connection breaks, until it is cancelled or nobody
// was attached to it for the grace period.
//
// Text is counted as one token for every four bytes. The prompt of a chat request is "role: content\n" for each message.
package engine
