package buffer

// share is what one stream may use of the budget.
type share struct {
	// granted is what the stream may hold, and wanted what it has asked for.
	granted, wanted int64
	// limit is what the stream was last told. It is below granted while the stream is to give bytes back.
	limit int64
}

// waits reports whether the stream has asked for more than it was granted.
func (s *share) waits() bool { return s.wanted > s.granted }
