// Package router sends placement requests to the owners of cells, and reports on the resulting grants to the same owners.
//
// Router is the task that records the load of the cells. A sender is the task that delivers reports to one other node.
// Server is the task that serves the routers of other nodes.
package router
