package configuration

// Member is another node that is alive.
type Member struct {
	ID string
	// Address is where its peer link is reached, as IP:port.
	Address string
	// Revision is the configuration revision that it was last known to have in force; 0 when unknown.
	Revision int64
}
