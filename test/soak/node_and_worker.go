package soak

// nodeAndWorker identifies what one worker has told one node.
type nodeAndWorker struct {
	node   int
	worker string
}
