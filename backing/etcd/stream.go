package etcd

import "context"

// closeWith closes the request side of a stream when ctx ends. The HTTP/2 transport does not notice the end of ctx
// while it waits for the next message to send.
func closeWith(ctx context.Context, stream interface{ CloseRequest() error }) {
	context.AfterFunc(ctx, func() { _ = stream.CloseRequest() })
}
