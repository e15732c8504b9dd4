package edge

// syncMessage asks for the changes after a revision on behalf of another node.
type syncMessage struct {
	request syncRequest
	reply   chan<- syncReply
}

func (m syncMessage) apply(v *view) {
	own := v.mirror.Revision()
	r := v.changesSince(m.request.since(own))
	if !r.Available && own > 0 && m.request.takesEntries(own) {
		r = v.allEntries()
	}
	r.LostConfiguration = v.lostConfiguration(m.request.ConfigurationVersion)
	if m.request.Unpacks {
		r.Packed = v.packer.pack(r.Events)
	}
	m.reply <- r
}
