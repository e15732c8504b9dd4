package membership

import "azuredyke.dev/azuredyke/decision/membership"

// wireMessage is the encoded form of a membership.Message.
type wireMessage struct {
	From             string           `cbor:"1,keyasint,omitempty"`
	Incarnation      uint64           `cbor:"2,keyasint,omitempty"`
	Revision         int64            `cbor:"3,keyasint,omitempty"`
	KnownIncarnation uint64           `cbor:"4,keyasint,omitempty"`
	KnownState       membership.State `cbor:"5,keyasint,omitempty"`
	HeadRevision     int64            `cbor:"6,keyasint,omitempty"`
	HeadNode         string           `cbor:"7,keyasint,omitempty"`
	HeadAddress      string           `cbor:"8,keyasint,omitempty"`
	Digest           uint64           `cbor:"9,keyasint,omitempty"`
	Updates          []wireMember     `cbor:"10,keyasint,omitempty"`
}

func toWireMessage(m membership.Message) wireMessage {
	w := wireMessage{
		From: m.From, Incarnation: m.Incarnation, Revision: m.Revision, KnownIncarnation: m.KnownIncarnation,
		KnownState: m.KnownState, HeadRevision: m.Head.Revision, HeadNode: m.Head.Node, HeadAddress: m.Head.Address,
		Digest: m.Digest, Updates: toWireMembers(m.Updates),
	}
	if w.HeadAddress == w.HeadNode {
		w.HeadAddress = ""
	}
	return w
}

func (w wireMessage) message() membership.Message {
	m := membership.Message{
		From: w.From, Incarnation: w.Incarnation, Revision: w.Revision, KnownIncarnation: w.KnownIncarnation,
		KnownState: w.KnownState, Digest: w.Digest, Updates: fromWireMembers(w.Updates),
		Head: membership.Head{Revision: w.HeadRevision, Node: w.HeadNode, Address: w.HeadAddress},
	}
	if m.Head.Address == "" {
		m.Head.Address = m.Head.Node
	}
	return m
}
