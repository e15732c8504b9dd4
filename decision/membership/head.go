package membership

// Head names a member with the highest configuration revision that is known. It travels in every message, so that a
// member that is behind knows whom to ask.
type Head struct {
	Revision int64
	Node     string
	Address  string
}
