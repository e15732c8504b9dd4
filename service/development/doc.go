// Package development runs a whole small site in one process: a node, an in-memory key-value service, a host list and a
// few endpoints.
package development
