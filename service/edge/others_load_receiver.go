package edge

import (
	"time"

	"azuredyke.dev/azuredyke/common/mailbox"
	"azuredyke.dev/azuredyke/decision/gather"
)

// othersLoadReceiver keeps the others' load of this node as each relay reports it, and passes on the load of the relay that
// counts to the dispatcher. It belongs to the peers task.
type othersLoadReceiver struct {
	dispatcher mailbox.Mailbox[dispatcherMessage]
	// views holds the loads by the rank of the relay that sent them.
	views [gather.RelaysPerDataCentre]gather.LoadView
	// source is the rank of the relay whose loads the dispatcher has.
	source int
	// incomplete is set while the dispatcher lacks changes of the source.
	incomplete bool
}

func newOthersLoadReceiver(dispatcher mailbox.Mailbox[dispatcherMessage]) *othersLoadReceiver {
	return &othersLoadReceiver{dispatcher: dispatcher, incomplete: true}
}

// apply applies an update of the relay with the given rank. If the relay counts, the dispatcher gets the loads that the update
// names, or all loads after a full update, a change of the source or a restart of the relay.
func (r *othersLoadReceiver) apply(now time.Time, rank int, u gather.Update, counts bool) {
	view := &r.views[rank]
	restarted := !view.Continues(u)
	view.Apply(now, u)
	if !counts {
		return
	}
	if u.Full || restarted || rank != r.source {
		r.incomplete = true
	}
	r.source = rank
	m := othersLoadMessage{complete: r.incomplete}
	if r.incomplete {
		m.loads = view.Loads()
	} else {
		m.loads = view.LoadsOf(u)
	}
	r.incomplete = !r.dispatcher.TrySend(m)
}
