package etcd

import (
	"strings"

	"connectrpc.com/connect"

	"azuredyke.dev/azuredyke/backing"
)

// Messages of the service with the status "resource exhausted" that prove that a write was not applied. The same status
// is also used when only the answer was too large.
const (
	messageNoSpace         = "etcdserver: mvcc: database space exceeded"
	messageTooManyRequests = "etcdserver: too many requests"
	messageTooLarge        = "grpc: received message larger than max"
)

// readError returns the error of a call without effect.
func readError(err error) error {
	if class := refusal(err); class != nil {
		return class
	}
	return backing.ErrUnavailable.Wrap(err)
}

// writeError returns the error of a write that may have reached the server.
func writeError(err error) error {
	if class := refusal(err); class != nil {
		return class
	}
	return backing.ErrUnknownOutcome.Wrap(err)
}

// refusal returns the error of a call that the server answered with a status which proves that the call had no effect,
// or nil. A status that the client made up, such as the one for a broken connection, proves nothing. Neither does the
// server's "unavailable": etcd uses it for requests that timed out or lost their leader after they were proposed.
func refusal(err error) error {
	if !connect.IsWireError(err) {
		return nil
	}
	switch connect.CodeOf(err) {
	case connect.CodeInvalidArgument:
		return backing.ErrInvalid.Wrap(err)
	case connect.CodeNotFound:
		return backing.ErrLeaseNotFound.Wrap(err)
	case connect.CodeOutOfRange:
		return backing.ErrCompacted.Wrap(err)
	case connect.CodePermissionDenied, connect.CodeUnauthenticated, connect.CodeUnimplemented:
		return backing.ErrUnavailable.Wrap(err)
	case connect.CodeResourceExhausted:
		switch text := err.Error(); {
		case strings.Contains(text, messageNoSpace), strings.Contains(text, messageTooManyRequests):
			return backing.ErrUnavailable.Wrap(err)
		case strings.Contains(text, messageTooLarge):
			return backing.ErrInvalid.Wrap(err)
		}
	}
	return nil
}

// afterRead returns how to go on after a call without effect: another server may be reachable, but it would give the
// same answer to a call that is refused for other reasons.
func afterRead(err error) attemptResult {
	if backing.ErrUnavailable.Has(err) {
		return attemptFailed
	}
	return attemptAnswered
}
