package overload

// WorkspaceUsage is what a workspace uses and waits for, in tokens of engine memory.
type WorkspaceUsage struct {
	Workspace string `cbor:"1,keyasint"`
	Used      int    `cbor:"2,keyasint,omitempty"`
	Waiting   int    `cbor:"3,keyasint,omitempty"`
}
