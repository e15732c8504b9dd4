package message

// ClaimOutcome is the stored answer of a request that may not be repeated.
type ClaimOutcome struct {
	Status      int
	ContentType string
	// Body is kept only up to a bound; BodyDropped says that it was longer.
	Body        []byte
	BodyDropped bool
}
