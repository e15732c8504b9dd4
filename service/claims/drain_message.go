package claims

// drainMessage requests that done is closed once no record waits to be written.
type drainMessage struct {
	done chan struct{}
}

func (m drainMessage) apply(s *Shard) { s.drainWaiters = append(s.drainWaiters, m.done) }

// notifyDrained closes the channels of waiting drain requests if no record is queued.
func (s *Shard) notifyDrained() {
	if s.set.Queued() > 0 {
		return
	}
	for _, done := range s.drainWaiters {
		close(done)
	}
	s.drainWaiters = nil
}
