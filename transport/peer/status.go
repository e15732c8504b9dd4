package peer

// status is the result that a reply carries.
type status uint8

const (
	// statusOK is followed by the handler's reply.
	statusOK status = iota
	// statusFailed says that the handler returned an error.
	statusFailed
	// The following say that no handler ran.
	statusBusy
	statusUnknownKind
	statusExpired
	statusInvalid
)

func (s status) String() string {
	switch s {
	case statusOK:
		return "ok"
	case statusFailed:
		return "failed"
	case statusBusy:
		return "busy"
	case statusUnknownKind:
		return "unknown kind"
	case statusExpired:
		return "expired on arrival"
	default:
		return "invalid body"
	}
}
