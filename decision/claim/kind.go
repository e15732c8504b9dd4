package claim

// Kind is the kind of a Record.
type Kind uint8

// Kinds of records. The values are part of the storage format.
const (
	// KindClaimed grants the key to an attempt, which may then be sent.
	KindClaimed Kind = 1
	// KindFinished records that the attempt ran, with its outcome.
	KindFinished Kind = 2
	// KindReleased frees the key, because no byte of the attempt was sent.
	KindReleased Kind = 3
)
