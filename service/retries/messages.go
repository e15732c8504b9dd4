package retries

import "time"

// keeperMessage is a message to the Keeper task.
type keeperMessage interface {
	apply(k *Keeper)
}

// allowMessage requests one retry.
type allowMessage struct {
	key   Key
	reply chan<- bool
}

func (m allowMessage) apply(k *Keeper) { m.reply <- k.budget(m.key).Take(time.Now()) }

// successMessage records one success.
type successMessage struct {
	key Key
}

func (m successMessage) apply(k *Keeper) { k.budget(m.key).Succeeded() }
