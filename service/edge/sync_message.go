package edge

// syncMessage asks for the changes after a revision on behalf of another node.
type syncMessage struct {
	since int64
	// packs is set if large values are to be compressed.
	packs bool
	reply chan<- syncReply
}

func (m syncMessage) apply(v *view) {
	r := v.changesSince(m.since)
	if m.packs {
		r.Packed = v.packer.pack(r.Events)
	}
	m.reply <- r
}
