package membership

// Target is a node to send to. The ID is empty when only the address is known, from the list of hosts.
type Target struct {
	ID      string
	Address string
}
