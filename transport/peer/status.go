package peer

// status is the result of a request in its reply.
type status uint8

const (
	// statusOK means that the body holds the handler's reply.
	statusOK status = iota
	// statusFailed means that the handler ran and failed.
	statusFailed
	// The values below mean that no handler ran.
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
