package edge

// busyEngine is a model engine that runs requests of this node.
type busyEngine struct {
	id      string
	address string
}
