package limits

import (
	"time"

	"azuredyke.dev/azuredyke/decision/limit"
)

// keeperMessage is a message to the task of a Keeper.
type keeperMessage interface {
	apply(k *Keeper)
}

// startMessage asks whether a request may start.
type startMessage struct {
	workspace    string
	promptTokens int
	reply        chan<- limit.Decision
}

func (m startMessage) apply(k *Keeper) {
	m.reply <- k.workspace(m.workspace).Start(time.Now(), m.promptTokens)
}

// endMessage records the end of a request.
type endMessage struct {
	workspace    string
	outputTokens int
}

func (m endMessage) apply(k *Keeper) { k.workspace(m.workspace).End(time.Now(), m.outputTokens) }
