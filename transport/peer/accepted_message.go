package peer

import "github.com/coder/websocket"

// acceptedMessage hands over a connection that another node opened.
type acceptedMessage struct {
	conn *websocket.Conn
}

func (m acceptedMessage) apply(h *Hub) {
	if h.incoming >= h.options.MaxIncoming {
		_ = m.conn.CloseNow()
		return
	}
	h.incoming++
	h.start(newLink(h, "", m.conn))
}
