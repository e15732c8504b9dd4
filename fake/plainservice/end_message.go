package plainservice

// endMessage says that the time of a call is over.
type endMessage struct {
	reply chan<- struct{}
}

func (m endMessage) handle(t *task) {
	t.stats.InFlight--
	m.reply <- struct{}{}
}
