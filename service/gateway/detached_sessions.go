package gateway

import (
	"context"
	"time"

	"azuredyke.dev/azuredyke/common/mailbox"
	"azuredyke.dev/azuredyke/common/message"
)

// detachedCapacity is the number of messages that the mailbox holds; senders block when it is full.
const detachedCapacity = 256

// DetachedSessions is the task that owns the registry of detached sessions: sessions on this node whose callers hung up and may
// reattach to their generations, at this node or at another.
type DetachedSessions struct {
	messages mailbox.Mailbox[detachedMessage]
	// sessions holds the detached sessions by generation.
	sessions map[string]chan<- takeOverRequest
	// takenAt holds, by generation, the time of a take-over for which no session was registered. Such a caller may have
	// reattached before its old session noticed the hang-up.
	takenAt map[string]time.Time
}

// takeOverRequest asks a detached session to end and to reply with its grant.
type takeOverRequest struct {
	reply chan<- message.Grant
}

// NewDetachedSessions returns a DetachedSessions without sessions.
func NewDetachedSessions() *DetachedSessions {
	return &DetachedSessions{
		messages: mailbox.New[detachedMessage](detachedCapacity), sessions: map[string]chan<- takeOverRequest{},
		takenAt: map[string]time.Time{},
	}
}

// takeOverTimeout bounds the wait for the reply of a detached session.
const takeOverTimeout = time.Second

// TakeOver ends the detached session of a generation and returns its grant. It returns false when there is no such session or
// when it does not reply within takeOverTimeout.
func (d *DetachedSessions) TakeOver(ctx context.Context, generation string) (message.Grant, bool) {
	ctx, cancel := context.WithTimeout(ctx, takeOverTimeout)
	defer cancel()
	session, err := mailbox.Call(ctx, d.messages, func(reply chan<- chan<- takeOverRequest) detachedMessage {
		return takeOverMessage{generation: generation, reply: reply}
	})
	if err != nil || session == nil {
		return message.Grant{}, false
	}
	reply := make(chan message.Grant, 1)
	select {
	case session <- takeOverRequest{reply: reply}:
	case <-ctx.Done():
		return message.Grant{}, false
	}
	select {
	case g := <-reply:
		return g, true
	case <-ctx.Done():
		return message.Grant{}, false
	}
}

// register adds a detached session. It reports false when the generation was taken over already.
func (d *DetachedSessions) register(ctx context.Context, generation string, session chan<- takeOverRequest) bool {
	registered, err := mailbox.Call(ctx, d.messages, func(reply chan<- bool) detachedMessage {
		return registerMessage{generation: generation, session: session, reply: reply}
	})
	return err == nil && registered
}

// Count returns the number of detached sessions.
func (d *DetachedSessions) Count(ctx context.Context) (int, error) {
	return mailbox.Call(ctx, d.messages, func(reply chan<- int) detachedMessage { return countMessage{reply: reply} })
}

// expire deletes the take-overs that are older than the longest resume window.
func (d *DetachedSessions) expire(now time.Time) {
	for generation, at := range d.takenAt {
		if now.Sub(at) > maxResumeWindow {
			delete(d.takenAt, generation)
		}
	}
}

// unregister removes a detached session that has ended.
func (d *DetachedSessions) unregister(ctx context.Context, generation string) {
	_ = d.messages.Send(ctx, unregisterMessage{generation: generation})
}

// Run serves messages until ctx ends.
func (d *DetachedSessions) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-d.messages.Receive():
			m.apply(d)
		}
	}
}
