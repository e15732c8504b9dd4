package membership

// Message is the body of a probe, of the answer to a probe, and of a push of updates.
type Message struct {
	// From, Incarnation and Revision describe the sender.
	From        string
	Incarnation uint64
	Revision    int64
	// KnownIncarnation and KnownState are the sender's record of the recipient. The incarnation is 0 if the sender has no
	// record.
	KnownIncarnation uint64
	KnownState       State
	Head             Head
	// Digest is a hash of the sender's table. Equal digests mean equal tables.
	Digest  uint64
	Updates []Member
}
