// Package mirror holds a node's copy of one prefix of the key-value service. The changes come from the service itself and
// from other nodes with newer copies.
//
// Every change has the revision of the service, which is one counter for all keys. Of two changes of a key, the newer one
// is therefore known regardless of their sources.
package mirror
