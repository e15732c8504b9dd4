package edge

// revisionHint reports that another node has a newer revision of the store.
type revisionHint struct {
	node     string
	revision int64
}
