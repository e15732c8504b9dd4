package retries

import "time"

// taskMessage is a message to the task of a Manager.
type taskMessage interface {
	apply(manager *Manager)
}

// allowMessage requests one retry.
type allowMessage struct {
	key   Key
	reply chan<- bool
}

func (m allowMessage) apply(manager *Manager) { m.reply <- manager.budget(m.key).Take(time.Now()) }

// successMessage records one success.
type successMessage struct {
	key Key
}

func (m successMessage) apply(manager *Manager) { manager.budget(m.key).RecordSuccess() }
