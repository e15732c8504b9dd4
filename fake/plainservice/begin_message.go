package plainservice

import "azuredyke.dev/azuredyke/transport/engine"

// beginMessage says that a call was received.
type beginMessage struct {
	call  Call
	fence uint64
	reply chan<- beginReply
}

// beginReply says what happens to a call.
type beginReply struct {
	// refused is the value of the refusal header, or "".
	refused string
	failure Failure
	// number counts the calls that were run.
	number int64
}

func (m beginMessage) handle(t *task) {
	t.stats.Received++
	if refused := t.refuses(m.fence); refused != "" {
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
		// The effect of a call is in force from its start, so that a call which is cut off has run.
		t.stats.Ran++
		t.stats.Runs[m.call.Key]++
	}
	m.reply <- beginReply{failure: failure, number: t.stats.Ran}
}
