package fleet

// Settlement holds the ids of the endpoints whose entries went missing while the key-value service may have been out of service.
type Settlement struct {
	// Departed lists the endpoints that have left and were removed.
	Departed []string
	// Lapsed lists the endpoints that are kept until the grace of lapsed entries ends.
	Lapsed []string
}
