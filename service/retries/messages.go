package retries

import "time"

// keeperMessage is a message to the Keeper task.
type keeperMessage interface {
	apply(k *Manager)
}

// allowMessage requests one retry.
type allowMessage struct {
	key   Key
	reply chan<- bool
}

func (m allowMessage) apply(k *Manager) { m.reply <- k.budget(m.key).Take(time.Now()) }

// successMessage records one success.
type successMessage struct {
	key Key
}

func (m successMessage) apply(k *Manager) { k.budget(m.key).RecordSuccess() }
