package message

// ClaimOutcome is the stored answer to a request that must not be repeated.
type ClaimOutcome struct {
	Status      int
	ContentType string
	// Body is stored only up to a maximum size; BodyDropped is set when the body was larger.
	Body        []byte
	BodyDropped bool
}
