package peer

import "go.uber.org/zap"

// linkEndedMessage reports that a link has ended.
type linkEndedMessage struct {
	link *link
}

func (m linkEndedMessage) apply(h *Hub) {
	l := m.link
	if l.address == "" {
		h.incomingLinks--
		if !l.connected {
			h.linksRefused.Inc(1)
			h.log.Warn("incoming link refused", zap.Error(l.err))
		}
		return
	}
	if h.links[l.address] == l {
		delete(h.links, l.address)
		h.publishLinks()
	}
	if l.connected {
		delete(h.backoffs, l.address)
		return
	}
	wait := h.recordDialFailure(l.address)
	h.log.Debug("link not opened", zap.String("address", l.address), zap.Duration("retry_after", wait), zap.Error(l.err))
}
