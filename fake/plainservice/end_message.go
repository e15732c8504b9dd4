package plainservice

// endMessage reports that a call has ended.
type endMessage struct {
	reply chan<- struct{}
}

func (m endMessage) handle(t *task) {
	t.stats.InFlight--
	m.reply <- struct{}{}
}
