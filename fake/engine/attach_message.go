package engine

import "time"

// attachMessage attaches a reader to a generation. The reply is nil when no generation has the id.
type attachMessage struct {
	id    string
	reply chan<- *generation
}

func (m attachMessage) handle(t *task) {
	s, ok := t.sequences[m.id]
	if !ok {
		m.reply <- nil
		return
	}
	t.stats.Resumes++
	s.attached++
	m.reply <- s.generation
}

// detachMessage detaches a reader from a generation.
type detachMessage struct {
	id string
}

func (m detachMessage) handle(t *task) {
	if s, ok := t.sequences[m.id]; ok {
		s.attached--
		s.detachedAt = time.Now()
	}
}
