package kvserver

import (
	"context"
	"errors"
	"io"

	"connectrpc.com/connect"

	"azuredyke.dev/azuredyke/gen/etcdserverpb"
)

// watchHandler serves the Watch service.
type watchHandler struct {
	server *Server
}

// Watch implements etcdserverpbconnect.WatchHandler. A stream may have several watches.
func (h watchHandler) Watch(
	ctx context.Context, stream *connect.BidiStream[etcdserverpb.WatchRequest, etcdserverpb.WatchResponse],
) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	w := newWatchStream(func() { cancel(errUnavailable) })
	defer func() { _ = h.server.inbox.Send(h.server.lifetime, closeStreamMessage{stream: w}) }()
	go func() { cancel(h.receive(ctx, stream, w)) }()
	for {
		select {
		case <-ctx.Done():
			if cause := context.Cause(ctx); !errors.Is(cause, io.EOF) {
				return cause
			}
			return nil
		case response := <-w.out:
			if err := stream.Send(response); err != nil {
				return err
			}
		}
	}
}

// receive forwards the requests of a stream to the task until the stream ends. It returns the reason.
func (h watchHandler) receive(
	ctx context.Context, stream *connect.BidiStream[etcdserverpb.WatchRequest, etcdserverpb.WatchResponse], w *watchStream,
) error {
	for {
		req, err := stream.Receive()
		if err != nil {
			return err
		}
		if create := req.GetCreateRequest(); create != nil {
			if err := h.server.admit(ctx, CallWatch, false); err != nil {
				return err
			}
			err = h.server.inbox.Send(ctx, openWatchMessage{stream: w, request: create})
		} else if cancel := req.GetCancelRequest(); cancel != nil {
			err = h.server.inbox.Send(ctx, closeWatchMessage{stream: w, id: cancel.GetWatchId()})
		}
		if err != nil {
			return err
		}
	}
}
