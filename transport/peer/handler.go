package peer

import (
	"context"
	"runtime/debug"

	"go.uber.org/zap"
)

// DefaultMaxHandlers is the default limit of handlers of one kind that run at a time.
const DefaultMaxHandlers = 1024

// handler serves one kind of request or notice. It is registered before Run and not modified later.
type handler struct {
	slots  chan struct{}
	notice bool
	// serve decodes the body, runs the handler and encodes the reply.
	serve func(ctx context.Context, from string, body []byte) ([]byte, status, string)
}

// acquire occupies a slot, and returns false if all slots are occupied.
func (h *handler) acquire() bool {
	select {
	case h.slots <- struct{}{}:
		return true
	default:
		return false
	}
}

func (h *handler) release() { <-h.slots }

// Handle registers the handler of a kind of request. It must be called before Run. At most limit handlers of the kind run
// at a time, or DefaultMaxHandlers if limit is 0. Further requests are refused as busy, which is an ErrNotDelivered for the
// caller. The context of a handler ends at the caller's deadline, when the caller gives up, or when the link ends.
func Handle[Q, R any](h *Hub, kind string, limit int, f func(ctx context.Context, from string, q Q) (R, error)) {
	h.register(kind, limit, false, func(ctx context.Context, from string, body []byte) ([]byte, status, string) {
		var q Q
		if err := decMode.Unmarshal(body, &q); err != nil {
			return nil, statusInvalid, err.Error()
		}
		r, err := f(ctx, from, q)
		if err != nil {
			return nil, statusFailed, err.Error()
		}
		reply, err := encMode.Marshal(r)
		if err != nil {
			return nil, statusFailed, err.Error()
		}
		return reply, statusOK, ""
	})
}

// HandleNotice registers the handler of a kind of notice. It must be called before Run. The handler runs in the reader of the
// link and must not block: until it returns, no further frame of the link is read.
func HandleNotice[Q any](h *Hub, kind string, f func(ctx context.Context, from string, q Q)) {
	h.register(kind, 0, true, func(ctx context.Context, from string, body []byte) ([]byte, status, string) {
		var q Q
		if err := decMode.Unmarshal(body, &q); err != nil {
			return nil, statusInvalid, err.Error()
		}
		f(ctx, from, q)
		return nil, statusOK, ""
	})
}

// noticeHandler returns the handler of a notice; nil if the envelope is not a notice of a known kind.
func (h *Hub) noticeHandler(e envelope) *handler {
	if e.Reply || e.ID != 0 {
		return nil
	}
	if known := h.handlers[e.Kind]; known != nil && known.notice {
		return known
	}
	return nil
}

func (h *Hub) register(kind string, limit int, notice bool,
	serve func(context.Context, string, []byte) ([]byte, status, string),
) {
	if limit == 0 {
		limit = DefaultMaxHandlers
	}
	h.handlers[kind] = &handler{
		slots: make(chan struct{}, limit), notice: notice,
		serve: func(ctx context.Context, from string, body []byte) (reply []byte, s status, detail string) {
			defer func() {
				if p := recover(); p != nil {
					h.log.Error("handler panicked", zap.String("kind", kind), zap.Any("panic", p),
						zap.ByteString("stack", debug.Stack()))
					reply, s, detail = nil, statusFailed, "the handler panicked"
				}
			}()
			return serve(ctx, from, body)
		},
	}
}
