// Package ratelimit keeps the requests of all nodes to an endpoint within the rate that the endpoint has stated.
//
// Each endpoint has an owner among the nodes, chosen by rendezvous hash, that grants every request to it. A node that can't reach the
// owner asks the standby, which grants less, since the owner may still grant to others. What a node learns of a limit is sent to all
// nodes, so that they ask before they have an answer of the endpoint themselves.
package ratelimit
