// Package dispatch chooses the endpoint for each request of this node, from the load of the node itself and the load that
// the other nodes report. No node owns an endpoint here: each node enforces an equal share of the limits that apply to all
// nodes together.
package dispatch
