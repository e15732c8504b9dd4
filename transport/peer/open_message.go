package peer

// openMessage asks for a link to an address. The reply channel has room for one reply, and may be nil.
type openMessage struct {
	address string
	// first is sent on the link if it is set.
	first linkMessage
	reply chan<- openReply
}

// openReply carries a link, or the reason why there is none.
type openReply struct {
	link *link
	err  error
}

func (m openMessage) apply(h *Hub) {
	l, err := h.open(m.address)
	if err == nil && m.first != nil && !l.messages.TrySend(m.first) {
		h.noticesDropped.Inc(1)
	}
	if err != nil && m.first != nil {
		h.noticesDropped.Inc(1)
	}
	if m.reply != nil {
		m.reply <- openReply{link: l, err: err}
	}
}
