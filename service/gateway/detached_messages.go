package gateway

import "time"

// detachedMessage is a message to the task of a Detached.
type detachedMessage interface {
	apply(d *Detached)
}

// registerMessage makes a detached session known.
type registerMessage struct {
	generation string
	session    chan<- takeOver
	reply      chan<- bool
}

func (m registerMessage) apply(d *Detached) {
	if _, taken := d.taken[m.generation]; taken {
		delete(d.taken, m.generation)
		m.reply <- false
		return
	}
	d.sessions[m.generation] = m.session
	m.reply <- true
}

// forgetMessage removes a session.
type forgetMessage struct {
	generation string
}

func (m forgetMessage) apply(d *Detached) { delete(d.sessions, m.generation) }

// findMessage asks for the session of a generation; the answer is nil when there is none.
type findMessage struct {
	generation string
	reply      chan<- chan<- takeOver
}

func (m findMessage) apply(d *Detached) {
	session := d.sessions[m.generation]
	if session == nil {
		now := time.Now()
		d.expire(now)
		d.taken[m.generation] = now
	}
	m.reply <- session
}

// countMessage asks for the number of sessions.
type countMessage struct {
	reply chan<- int
}

func (m countMessage) apply(d *Detached) { m.reply <- len(d.sessions) }
