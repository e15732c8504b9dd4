package retries

import "time"

// keeperMessage is a message to the task of a Keeper.
type keeperMessage interface {
	apply(k *Keeper)
}

// takeMessage asks for one retry.
type takeMessage struct {
	key   Key
	reply chan<- bool
}

func (m takeMessage) apply(k *Keeper) { m.reply <- k.budget(m.key).Take(time.Now()) }

// successMessage records one success.
type successMessage struct {
	key Key
}

func (m successMessage) apply(k *Keeper) { k.budget(m.key).Succeeded() }
