// Package development runs a complete small site in one process: a node, an in-memory key-value service, a host list and
// one endpoint of each service per data centre.
package development
