package limits

import (
	"time"

	"azuredyke.dev/azuredyke/decision/limit"
)

// keeperMessage is a message to the Keeper task.
type keeperMessage interface {
	apply(k *Keeper)
}

// startMessage requests the admission of a request.
type startMessage struct {
	workspace    string
	promptTokens int
	reply        chan<- limit.Decision
}

func (m startMessage) apply(k *Keeper) {
	m.reply <- k.workspace(m.workspace).Start(time.Now(), m.promptTokens)
}

// endMessage records the end of an admitted request.
type endMessage struct {
	workspace    string
	outputTokens int
}

func (m endMessage) apply(k *Keeper) { k.workspace(m.workspace).End(time.Now(), m.outputTokens) }
