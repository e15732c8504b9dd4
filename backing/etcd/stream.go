package etcd

import "context"

// closeRequestOnDone closes the request side of a stream when ctx ends. Without it, the HTTP/2 transport would keep waiting
// for the next message to send.
func closeRequestOnDone(ctx context.Context, stream interface{ CloseRequest() error }) {
	context.AfterFunc(ctx, func() { _ = stream.CloseRequest() })
}
