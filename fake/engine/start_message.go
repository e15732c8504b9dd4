package engine

import (
	"time"

	"azuredyke.dev/azuredyke/common/latest"
)

// startMessage starts a generation.
type startMessage struct {
	request generateRequest
	reply   chan<- startReply
}

// startReply is the reply to startMessage. Exactly one field is set.
type startReply struct {
	generation *generation
	refusal    refusal
}

// refusal is the reason for which a generation was not started.
type refusal uint8

const (
	notRefused refusal = iota
	refusedDown
	refusedLeaving
	refusedStaleFence
	refusedModel
	refusedTooLong
	refusedDuplicate
)

func (m startMessage) handle(t *task) {
	now := time.Now()
	if t.down() {
		m.reply <- startReply{refusal: refusedDown}
		return
	}
	t.stats.countRequest(m.request.id, now, t.leavingSince)
	if reason := t.checkRequest(m.request, now); reason != notRefused {
		m.reply <- startReply{refusal: reason}
		return
	}
	if t.cold && t.batch.size() >= t.options.ColdLimit {
		t.stats.ColdExcess++
		if t.options.CrashesWhenOverloadedCold {
			t.crash(now)
			m.reply <- startReply{refusal: refusedDown}
			return
		}
	}
	s := t.newSequence(m.request, now)
	t.sequences[s.id] = s
	t.batch.add(s)
	t.stats.Started++
	t.stats.PeakInFlight = max(t.stats.PeakInFlight, t.batch.size())
	if t.cold {
		t.stats.PeakCold = max(t.stats.PeakCold, t.batch.size())
	}
	t.scheduleSweep(now)
	t.recordLoad(now)
	m.reply <- startReply{generation: s.generation}
}

// checkRequest returns the reason for which a request must not start, or notRefused.
func (t *task) checkRequest(r generateRequest, now time.Time) refusal {
	if _, refuses := t.draining(now); refuses {
		t.stats.RefusedLeaving++
		return refusedLeaving
	}
	if !t.checkFence(r.fence) {
		return refusedStaleFence
	}
	if _, loaded := t.models[r.model]; !loaded {
		return refusedModel
	}
	if t.batch.memory.blocksFor(r.prompt.tokens+1) > t.options.Blocks {
		return refusedTooLong
	}
	if _, exists := t.sequences[r.id]; exists {
		return refusedDuplicate
	}
	return notRefused
}

// newSequence returns a sequence for a request, whose caller counts as an attached reader.
func (t *task) newSequence(r generateRequest, now time.Time) *sequence {
	s := &sequence{
		generation: &generation{
			id: r.id, model: r.model, chat: r.chat, includeUsage: r.includeUsage, created: now.Unix(), prompt: r.prompt,
			progress: latest.New(progress{}),
		},
		priority: r.priority, length: drawLength(t.options, r.prompt), finishReason: "stop", attached: 1,
	}
	if r.maxTokens > 0 && s.length > r.maxTokens {
		s.length, s.finishReason = r.maxTokens, "length"
	}
	return s
}
