package edge

// syncMessage asks for the changes after a revision on behalf of another node.
type syncMessage struct {
	since int64
	reply chan<- syncReply
}

func (m syncMessage) apply(v *view) { m.reply <- v.changesSince(m.since) }
