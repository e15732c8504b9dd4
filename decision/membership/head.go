package membership

// Head names a member with the highest known configuration revision. Every message contains it, so that a member with an
// older revision can request the newer one.
type Head struct {
	Revision int64
	Node     string
	Address  string
}
