// Package router finds the owner of a cell that can place a request, and tells the owner what became of the grant.
//
// Router is the task that remembers how busy the cells are. A sender is the task that delivers reports to one other node.
// Server is the task that serves the routers of other nodes.
package router
