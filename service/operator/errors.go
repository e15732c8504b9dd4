package operator

import "errors"

var (
	errMissingToken = errors.New("the header Authorization must carry a known bearer token")
	errViewerOnly   = errors.New("this call needs the role operator")
	errMissingSpec  = errors.New("object.spec must be set")
	errKind         = errors.New("kind must be set")
	errState        = errors.New("state must be IN or OUT")
	errExpected     = errors.New("expected_revision must not be negative")
	errLimit        = errors.New("limit must not be negative")
	errBody         = errors.New("the body is too large or came too slowly")
	errFilter       = errors.New("a filter is too long")
)
