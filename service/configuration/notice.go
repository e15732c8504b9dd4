package configuration

// Notice tells a peer that a node has a new revision in force.
type Notice struct {
	Revision int64
	// From is the address of the node, where the revision can be pulled.
	From string
}
