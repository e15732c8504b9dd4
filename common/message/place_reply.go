package message

// PlaceReply answers a PlaceRequest; exactly one field is set.
type PlaceReply struct {
	Grant   *Grant
	Refusal *Refusal
}
