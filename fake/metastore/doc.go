// Package metastore is a fake of the metadata store of the users' platform for tests. It serves JSON over HTTP/1.1
// from a key-value service.
package metastore
