package edge

// busyEngine is a model engine that is running requests sent by this node.
type busyEngine struct {
	id      string
	address string
}
