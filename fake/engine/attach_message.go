package engine

import "time"

// attachMessage attaches a reader to a generation. The reply is nil when the generation is not known.
type attachMessage struct {
	id    string
	reply chan<- *generation
}

func (m attachMessage) handle(t *task) {
	s, ok := t.known[m.id]
	if !ok {
		m.reply <- nil
		return
	}
	t.stats.Resumes++
	s.attached++
	m.reply <- s.generation
}

// detachMessage says that a reader is gone.
type detachMessage struct {
	id string
}

func (m detachMessage) handle(t *task) {
	if s, ok := t.known[m.id]; ok {
		s.attached--
		s.detachedAt = time.Now()
	}
}
