package peer

import (
	"context"
	"net/http"
	"net/netip"

	"github.com/coder/websocket"
)

// Path is the path of the peers' listener that accepts links.
const Path = "/peer/v1"

// connect dials if this side opens the link, and authenticates.
func (l *link) connect(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, l.hub.options.DialTimeout)
	defer cancel()
	h := &handshake{secret: l.hub.options.Secret}
	var err error
	if l.address == "" {
		l.conn.SetReadLimit(maxHandshakeFrame)
		h.conn = l.conn
		l.node, err = h.accept(ctx, l.hub.options.NodeID)
	} else {
		if l.conn, err = l.hub.dial(ctx, l.address); err != nil {
			return err
		}
		l.conn.SetReadLimit(maxHandshakeFrame)
		h.conn = l.conn
		l.node, err = h.dial(ctx, l.hub.options.NodeID)
	}
	l.conn.SetReadLimit(int64(l.hub.options.MaxFrame))
	return err
}

// dial opens a connection without authenticating it.
func (h *Hub) dial(ctx context.Context, address string) (*websocket.Conn, error) {
	if h.needsSecret(address) {
		return nil, Error.New("no shared secret is set, so %s is not dialled: it is not a loopback address", address)
	}
	scheme := "ws://"
	if h.options.TLS != nil {
		scheme = "wss://"
	}
	conn, response, err := websocket.Dial(ctx, scheme+address+Path, &websocket.DialOptions{HTTPClient: h.client})
	if response != nil && response.Body != nil {
		_ = response.Body.Close()
	}
	return conn, Error.Wrap(err)
}

// Handler accepts links from other nodes. It serves every path that it is mounted on.
func (h *Hub) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if h.needsSecret(r.RemoteAddr) {
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

// needsSecret reports whether a link to or from the address is refused because no shared secret is set.
func (h *Hub) needsSecret(address string) bool {
	return len(h.options.Secret) == 0 && !h.options.TrustedNetwork && !loopback(address)
}

func loopback(address string) bool {
	a, err := netip.ParseAddrPort(address)
	return err == nil && a.Addr().Unmap().IsLoopback()
}
