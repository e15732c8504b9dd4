package peer

// openMessage requests a link to an address. The reply channel may be nil, and otherwise needs a buffer of one.
type openMessage struct {
	address string
	// firstMessage is sent to the link if it is set.
	firstMessage linkMessage
	reply        chan<- openReply
}

// openReply carries a link, or the error of opening it.
type openReply struct {
	link *link
	err  error
}

func (m openMessage) apply(h *Hub) {
	l, err := h.open(m.address)
	if err == nil && m.firstMessage != nil && !l.messages.TrySend(m.firstMessage) {
		h.noticesDropped.Inc(1)
	}
	if err != nil && m.firstMessage != nil {
		h.noticesDropped.Inc(1)
	}
	if m.reply != nil {
		m.reply <- openReply{link: l, err: err}
	}
}
