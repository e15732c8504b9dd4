package operator

import "errors"

var (
	errMissingToken             = errors.New("the header Authorization must carry a known bearer token")
	errViewerOnly               = errors.New("this call needs the role operator")
	errMissingSpec              = errors.New("object.spec must be set")
	errMissingKind              = errors.New("kind must be set")
	errInvalidState             = errors.New("state must be IN or OUT")
	errNegativeExpectedRevision = errors.New("expected_revision must not be negative")
	errNegativeLimit            = errors.New("limit must not be negative")
	errUnreadableBody           = errors.New("the body is too large or came too slowly")
	errFilterTooLong            = errors.New("a filter is too long")
)
