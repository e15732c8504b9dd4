package quarantine

import (
	"time"

	"azuredyke.dev/azuredyke/decision/quarantine"
)

// taskMessage is a message to the task of a Manager.
type taskMessage interface {
	apply(now time.Time, t *quarantine.Table)
}

// markMessage requests the mark of a request.
type markMessage struct {
	fingerprint quarantine.Fingerprint
	reply       chan<- quarantine.Mark
}

func (m markMessage) apply(now time.Time, t *quarantine.Table) { m.reply <- t.Mark(now, m.fingerprint) }

// reserveMessage merges a mark, requests the standing of its request, and reserves the run if the request is a suspect.
type reserveMessage struct {
	mark  quarantine.Mark
	reply chan<- quarantine.Standing
}

func (m reserveMessage) apply(now time.Time, t *quarantine.Table) {
	t.Merge(now, m.mark)
	m.reply <- t.Reserve(now, m.mark.Fingerprint)
}

// crashMessage records a crash; the reply is the mark for the other nodes.
type crashMessage struct {
	fingerprint quarantine.Fingerprint
	id          quarantine.CrashID
	reply       chan<- quarantine.Mark
}

func (m crashMessage) apply(now time.Time, t *quarantine.Table) {
	m.reply <- t.Crashed(now, m.fingerprint, m.id)
}

// runEndMessage records the end of a suspect's run.
type runEndMessage struct {
	fingerprint quarantine.Fingerprint
	completed   bool
}

func (m runEndMessage) apply(now time.Time, t *quarantine.Table) {
	t.Finished(now, m.fingerprint, m.completed)
}

// mergeMessage adds a mark from another node to the table.
type mergeMessage struct {
	mark quarantine.Mark
}

func (m mergeMessage) apply(now time.Time, t *quarantine.Table) { t.Merge(now, m.mark) }
