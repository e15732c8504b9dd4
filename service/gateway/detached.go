package gateway

import (
	"context"
	"time"

	"azuredyke.dev/azuredyke/common/mailbox"
	"azuredyke.dev/azuredyke/common/message"
)

// detachedCapacity bounds the waiting messages; senders wait beyond it.
const detachedCapacity = 256

// Detached is the task that knows the generations on this node whose callers hung up and may come back, here or at another
// node.
type Detached struct {
	messages mailbox.Mailbox[detachedMessage]
	sessions map[string]chan<- takeOver
	// taken holds the generations whose callers came back before their old sessions noticed that they had hung up.
	taken map[string]time.Time
}

// takeOver asks a detached session to hand its generation over. The session answers with its grant.
type takeOver struct {
	reply chan<- message.Grant
}

// NewDetached returns a Detached that knows no generation.
func NewDetached() *Detached {
	return &Detached{
		messages: mailbox.New[detachedMessage](detachedCapacity), sessions: map[string]chan<- takeOver{},
		taken: map[string]time.Time{},
	}
}

// takeOverTimeout bounds the wait for a detached session's answer.
const takeOverTimeout = time.Second

// TakeOver ends the detached session of a generation and returns its grant; false means that there is none.
func (d *Detached) TakeOver(ctx context.Context, generation string) (message.Grant, bool) {
	ctx, cancel := context.WithTimeout(ctx, takeOverTimeout)
	defer cancel()
	session, err := mailbox.Call(ctx, d.messages, func(reply chan<- chan<- takeOver) detachedMessage {
		return findMessage{generation: generation, reply: reply}
	})
	if err != nil || session == nil {
		return message.Grant{}, false
	}
	reply := make(chan message.Grant, 1)
	select {
	case session <- takeOver{reply: reply}:
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

// register makes a detached session known. It reports false when the generation was taken over already.
func (d *Detached) register(ctx context.Context, generation string, session chan<- takeOver) bool {
	free, err := mailbox.Call(ctx, d.messages, func(reply chan<- bool) detachedMessage {
		return registerMessage{generation: generation, session: session, reply: reply}
	})
	return err == nil && free
}

// Count returns the number of generations that run without a caller.
func (d *Detached) Count(ctx context.Context) (int, error) {
	return mailbox.Call(ctx, d.messages, func(reply chan<- int) detachedMessage { return countMessage{reply: reply} })
}

// expire forgets the generations that were taken over longer ago than any resume window.
func (d *Detached) expire(now time.Time) {
	for generation, at := range d.taken {
		if now.Sub(at) > maxResumeWindow {
			delete(d.taken, generation)
		}
	}
}

// forget removes a session that ended.
func (d *Detached) forget(ctx context.Context, generation string) {
	_ = d.messages.Send(ctx, forgetMessage{generation: generation})
}

// Run serves messages until ctx ends.
func (d *Detached) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-d.messages.Receive():
			m.apply(d)
		}
	}
}
