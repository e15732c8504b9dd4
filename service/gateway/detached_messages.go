package gateway

import "time"

// detachedMessage is a message to the task of DetachedSessions.
type detachedMessage interface {
	apply(d *DetachedSessions)
}

// registerMessage adds a detached session. The reply is false when the generation was taken over already.
type registerMessage struct {
	generation string
	session    chan<- takeOverRequest
	reply      chan<- bool
}

func (m registerMessage) apply(d *DetachedSessions) {
	if _, taken := d.takenAt[m.generation]; taken {
		delete(d.takenAt, m.generation)
		m.reply <- false
		return
	}
	d.sessions[m.generation] = m.session
	m.reply <- true
}

// unregisterMessage removes a detached session.
type unregisterMessage struct {
	generation string
}

func (m unregisterMessage) apply(d *DetachedSessions) { delete(d.sessions, m.generation) }

// takeOverMessage requests the detached session of a generation for a take-over. When there is none, the reply is nil and
// the take-over is recorded, so that the old session cannot register later.
type takeOverMessage struct {
	generation string
	reply      chan<- chan<- takeOverRequest
}

func (m takeOverMessage) apply(d *DetachedSessions) {
	session := d.sessions[m.generation]
	if session == nil {
		now := time.Now()
		d.expire(now)
		d.takenAt[m.generation] = now
	}
	m.reply <- session
}

// countMessage requests the number of detached sessions.
type countMessage struct {
	reply chan<- int
}

func (m countMessage) apply(d *DetachedSessions) { m.reply <- len(d.sessions) }
