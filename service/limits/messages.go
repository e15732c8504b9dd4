package limits

import (
	"time"

	"azuredyke.dev/azuredyke/decision/limit"
)

// keeperMessage is a message to the Keeper task.
type keeperMessage interface {
	apply(k *Limiter)
}

// startMessage requests the admission of a request.
type startMessage struct {
	workspace    string
	promptTokens int
	reply        chan<- limit.Decision
}

func (m startMessage) apply(k *Limiter) {
	m.reply <- k.workspace(m.workspace).Admit(time.Now(), m.promptTokens)
}

// endMessage records the end of an admitted request.
type endMessage struct {
	workspace    string
	outputTokens int
}

func (m endMessage) apply(k *Limiter) { k.workspace(m.workspace).Release(time.Now(), m.outputTokens) }
