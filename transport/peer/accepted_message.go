package peer

import "github.com/coder/websocket"

// acceptedMessage carries a connection that another node opened.
type acceptedMessage struct {
	conn *websocket.Conn
}

func (m acceptedMessage) apply(h *Hub) {
	if h.incomingLinks >= h.options.MaxIncoming {
		_ = m.conn.CloseNow()
		return
	}
	h.incomingLinks++
	h.startLink(newLink(h, "", m.conn))
}
