package peer

import "go.uber.org/zap"

// endedMessage says that a link has ended.
type endedMessage struct {
	link *link
}

func (m endedMessage) apply(h *Hub) {
	l := m.link
	if l.address == "" {
		h.incoming--
		if !l.connected {
			h.authFailed.Inc(1)
			h.log.Warn("incoming link refused", zap.Error(l.err))
		}
		return
	}
	if h.links[l.address] == l {
		delete(h.links, l.address)
		h.publish()
	}
	if l.connected {
		delete(h.backoffs, l.address)
		return
	}
	wait := h.backoffAfterFailure(l.address)
	h.log.Debug("link not opened", zap.String("address", l.address), zap.Duration("retry_after", wait), zap.Error(l.err))
}
