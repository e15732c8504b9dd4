package edge

// syncMessage asks for the changes after a revision, for another node.
type syncMessage struct {
	since int64
	reply chan<- syncReply
}

func (m syncMessage) apply(v *view) { m.reply <- v.since(m.since) }
