package limits

import (
	"time"

	"azuredyke.dev/azuredyke/decision/limit"
)

// taskMessage is a message to the task of a Limiter.
type taskMessage interface {
	apply(l *Limiter)
}

// admitMessage requests the admission of a request.
type admitMessage struct {
	workspace    string
	promptTokens int
	reply        chan<- limit.Decision
}

func (m admitMessage) apply(l *Limiter) {
	m.reply <- l.workspace(m.workspace).Admit(time.Now(), m.promptTokens)
}

// releaseMessage records the end of an admitted request.
type releaseMessage struct {
	workspace    string
	outputTokens int
}

func (m releaseMessage) apply(l *Limiter) {
	l.workspace(m.workspace).Release(time.Now(), m.outputTokens)
}
