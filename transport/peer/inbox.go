package peer

// inbox is the bounded mailbox of a Hub. It is a plain channel, because senders also wait for the hub's done channel, which
// mailbox.Mailbox does not support.
type inbox chan hubMessage

func newInbox(capacity int) inbox { return make(inbox, capacity) }

// drain closes the accepted connections that were not handled before the hub ended.
func (i inbox) drain() {
	for {
		select {
		case m := <-i:
			if a, ok := m.(acceptedMessage); ok {
				_ = a.conn.CloseNow()
			}
		default:
			return
		}
	}
}
