package plainservice

import "azuredyke.dev/azuredyke/transport/engine"

// beginMessage reports that a call was received, and requests its admission.
type beginMessage struct {
	call  Call
	fence uint64
	reply chan<- beginReply
}

// beginReply is the reply to beginMessage.
type beginReply struct {
	// refused is the value of the refusal header, or "" if the call is not refused.
	refused string
	failure Failure
	// number is the number of calls run so far.
	number int64
}

func (m beginMessage) handle(t *task) {
	t.stats.Received++
	if refused := t.checkCall(m.fence); refused != "" {
		m.reply <- beginReply{refused: refused}
		return
	}
	failure := t.takeFailure()
	if failure == FailBusy {
		m.reply <- beginReply{refused: engine.RefusedBusy}
		return
	}
	t.stats.InFlight++
	t.stats.PeakInFlight = max(t.stats.PeakInFlight, t.stats.InFlight)
	if failure != FailBefore {
		// A call counts as run from its start, so that a call whose connection breaks has run.
		t.stats.Ran++
		t.stats.Runs[m.call.Key]++
	}
	m.reply <- beginReply{failure: failure, number: t.stats.Ran}
}
