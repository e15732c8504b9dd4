package operator

import "errors"

var (
	errMissingToken = errors.New("the header Authorization must carry a known bearer token")
	errViewerOnly   = errors.New("this call needs the role operator")
	errMissingSpec  = errors.New("object.spec must be set")
	errOperationID  = errors.New("change.operation_id must be set")
	errReason       = errors.New("change.reason must be set")
	errKind         = errors.New("kind must be set")
	errState        = errors.New("state must be IN or OUT")
)
