package quarantine

// simulationOptions are the parameters of one play.
type simulationOptions struct {
	seed           uint64
	nodes, engines int
	// rate is the number of requests per second, deadlyShare the share of them that contains the deadly part.
	rate, deadlyShare float64
	// powerCut is the number of engines that fail at once after 5 s.
	powerCut int
	// markLoss is the share of the marks that are lost on their way to a node.
	markLoss float64
	policy   simulatedPolicy
}
