package claim

// Kind is the kind of a Record.
type Kind uint8

// Kinds of records. The numbers are stored.
const (
	// KindClaimed says that an attempt may be sent.
	KindClaimed Kind = 1
	// KindFinished says that the attempt ran and carries its outcome.
	KindFinished Kind = 2
	// KindReleased says that no byte of the attempt was sent.
	KindReleased Kind = 3
)
