package kvserver

import (
	"errors"

	"connectrpc.com/connect"
)

// Errors with the codes and texts of etcd, except errUnimplemented.
var (
	errUnavailable     = connect.NewError(connect.CodeUnavailable, errors.New("etcdserver: no leader"))
	errTooManyRequests = connect.NewError(connect.CodeResourceExhausted, errors.New("etcdserver: too many requests"))
	errLeaseNotFound   = connect.NewError(connect.CodeNotFound, errors.New("etcdserver: requested lease not found"))
	errEmptyKey        = connect.NewError(connect.CodeInvalidArgument, errors.New("etcdserver: key is not provided"))
	errTooManyOps      = connect.NewError(connect.CodeInvalidArgument, errors.New("etcdserver: too many operations in txn request"))
	errDuplicateKey    = connect.NewError(connect.CodeInvalidArgument, errors.New("etcdserver: duplicate key given in txn request"))
	errTooLarge        = connect.NewError(connect.CodeInvalidArgument, errors.New("etcdserver: request is too large"))
	errUnimplemented   = connect.NewError(connect.CodeUnimplemented, errors.New("not implemented by the fake server"))
)
