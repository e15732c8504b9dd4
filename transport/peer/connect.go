package peer

import (
	"context"
	"net/http"
	"net/netip"

	"github.com/coder/websocket"
)

// Path is the HTTP path at which the listener for peers accepts links.
const Path = "/peer/v1"

// connect dials the address if this node opens the link, and authenticates both sides.
func (l *link) connect(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, l.hub.options.DialTimeout)
	defer cancel()
	h := &handshake{secret: l.hub.options.Secret}
	var err error
	if l.address == "" {
		l.conn.SetReadLimit(maxHandshakeFrame)
		h.conn = l.conn
		l.remoteID, err = h.accept(ctx, l.hub.options.NodeID)
	} else {
		if l.conn, err = l.hub.dial(ctx, l.address); err != nil {
			return err
		}
		l.conn.SetReadLimit(maxHandshakeFrame)
		h.conn = l.conn
		l.remoteID, err = h.dial(ctx, l.hub.options.NodeID)
	}
	l.conn.SetReadLimit(int64(l.hub.options.MaxFrame))
	return err
}

// dial opens a connection without authenticating it.
func (h *Hub) dial(ctx context.Context, address string) (*websocket.Conn, error) {
	if h.lacksRequiredSecret(address) {
		return nil, Error.New("no shared secret is set, so %s is not dialled: it is not a loopback address", address)
	}
	scheme := "ws://"
	if h.options.TLS != nil {
		scheme = "wss://"
	}
	conn, response, err := websocket.Dial(ctx, scheme+address+Path, &websocket.DialOptions{HTTPClient: h.httpClient})
	if response != nil && response.Body != nil {
		_ = response.Body.Close()
	}
	return conn, Error.Wrap(err)
}

// Handler returns an HTTP handler that accepts links from other nodes, whatever the path of the request.
func (h *Hub) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if h.lacksRequiredSecret(r.RemoteAddr) {
			http.Error(w, "no shared secret is set", http.StatusForbidden)
			return
		}
		conn, err := websocket.Accept(w, r, nil)
		if err != nil {
			return
		}
		select {
		case h.messages <- acceptedMessage{conn: conn}:
		case <-h.done:
			_ = conn.CloseNow()
		case <-r.Context().Done():
			_ = conn.CloseNow()
		}
	})
}

// lacksRequiredSecret reports whether a link to or from the address must be refused because no shared secret is set.
func (h *Hub) lacksRequiredSecret(address string) bool {
	return len(h.options.Secret) == 0 && !h.options.TrustedNetwork && !isLoopback(address)
}

func isLoopback(address string) bool {
	a, err := netip.ParseAddrPort(address)
	return err == nil && a.Addr().Unmap().IsLoopback()
}
