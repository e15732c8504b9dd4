package configuration

// Notice is the message to a peer that a node has a new revision in force.
type Notice struct {
	Revision int64
	// From is the address of the node, from which the revision can be pulled.
	From string
}
