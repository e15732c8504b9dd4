package membership

// Message is the body of a probe, of its answer and of a push of changes.
type Message struct {
	// From, Incarnation and Revision describe the sender.
	From        string
	Incarnation uint64
	Revision    int64
	// KnownIncarnation and KnownState are what the sender believes about the recipient; the incarnation is 0 when it knows
	// nothing.
	KnownIncarnation uint64
	KnownState       State
	Head             Head
	// Digest summarises the sender's table. Equal digests mean equal tables.
	Digest  uint64
	Updates []Member
}
