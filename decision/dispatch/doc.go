// Package dispatch decides on which endpoint a request of this node runs, from the node's own runs and those that other
// nodes report. Endpoints have no owner here: limits that hold over all nodes are kept by equal shares.
package dispatch
