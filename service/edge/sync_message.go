package edge

// syncMessage asks for the changes after a revision on behalf of another node.
type syncMessage struct {
	since int64
	// packs is set if large values are to be compressed.
	packs bool
	// takesEntries is set if all entries may be sent in place of the changes.
	takesEntries bool
	reply        chan<- syncReply
}

func (m syncMessage) apply(v *view) {
	r := v.changesSince(m.since)
	if !r.Available && r.Revision > 0 && m.takesEntries {
		r = v.allEntries()
	}
	if m.packs {
		r.Packed = v.packer.pack(r.Events)
	}
	m.reply <- r
}
