package peer

// inbox is the bounded mailbox of a Hub. Senders also watch the hub's done channel, which mailbox.Mailbox does not offer.
type inbox chan hubMessage

func newInbox(capacity int) inbox { return make(inbox, capacity) }

// drain closes the connections that were accepted while the hub ended.
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
