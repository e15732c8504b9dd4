package edge

import (
	"context"

	"azuredyke.dev/azuredyke/common/mailbox"
)

const (
	// bufferStep is the number of bytes by which a stream's share grows and shrinks. An engine that sends 50 events of 400 bytes a
	// second fills it in 0.4 s.
	bufferStep = 8 << 10
	// freeBytes is the number of bytes that a stream may buffer without a share, so that streams with fast callers cost no messages.
	freeBytes = bufferStep / 2
)

// bufferShare is what one stream knows of its share of the node's buffers. It belongs to the relay task of the stream.
type bufferShare struct {
	stream   uint64
	keeper   mailbox.Mailbox[bufferReport]
	limits   chan bufferLimit
	sequence uint64
	// granted is the part of the budget that the stream holds, and limit the number of bytes at which it stops reading.
	granted, limit int64
	// asked is set while the stream waits for a larger share.
	asked bool
}

// allowed returns the number of bytes from which the stream may buffer no further event.
func (s *bufferShare) allowed() int64 { return max(s.limit, freeBytes) }

// adjust asks for a larger share before the present one is full, and gives back what the stream does not need.
func (s *bufferShare) adjust(ctx context.Context, buffered int64) {
	needed := (buffered + bufferStep - 1) / bufferStep * bufferStep
	switch {
	case s.limit < s.granted && max(needed, s.limit) < s.granted:
		s.report(ctx, max(needed, s.limit), 0)
	case needed+2*bufferStep <= s.granted:
		s.report(ctx, needed+bufferStep, 0)
	case !s.asked && buffered > max(s.limit-bufferStep/2, freeBytes/2):
		s.report(ctx, s.granted, s.granted+bufferStep)
	}
}

// apply applies a limit, and reports whether the stream must buffer less than before.
func (s *bufferShare) apply(ctx context.Context, l bufferLimit, buffered int64) bool {
	if l.sequence != s.sequence {
		return false
	}
	reduced := l.bytes < s.limit
	s.asked, s.limit, s.granted = false, l.bytes, max(s.granted, l.bytes)
	s.adjust(ctx, buffered)
	return reduced
}

// giveBack gives the whole share back at the end of the stream.
func (s *bufferShare) giveBack(ctx context.Context) {
	if s.sequence > 0 {
		s.report(context.WithoutCancel(ctx), 0, 0)
	}
}

// report sends a report. The state stays as it is if ctx ends first.
func (s *bufferShare) report(ctx context.Context, keep, want int64) {
	r := bufferReport{stream: s.stream, sequence: s.sequence + 1, keep: keep, want: want, limits: s.limits}
	if s.keeper.Send(ctx, r) != nil {
		return
	}
	s.sequence, s.granted, s.limit, s.asked = r.sequence, keep, min(s.limit, keep), want > keep
}
