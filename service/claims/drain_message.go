package claims

// drainMessage asks to be told when no record waits to be written.
type drainMessage struct {
	done chan struct{}
}

func (m drainMessage) apply(s *Shard) { s.draining = append(s.draining, m.done) }

// finishDrain tells those who wait that nothing is queued.
func (s *Shard) finishDrain() {
	if s.set.Queued() > 0 {
		return
	}
	for _, done := range s.draining {
		close(done)
	}
	s.draining = nil
}
