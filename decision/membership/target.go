package membership

// Target is a node to send a message to. The ID is empty for a host from the list of hosts without a known member.
type Target struct {
	ID      string
	Address string
}
