package edge

// hint says that another node knows more of the store.
type hint struct {
	node     string
	position int64
}
