package configuration

// Member is another node that is alive.
type Member struct {
	ID string
	// Address is the IP:port of its peer link.
	Address string
	// Revision is the last known configuration revision in force on the node; 0 if unknown.
	Revision int64
}
