// Package router finds the owner of a cell that can place a request, and tells the owner what became of the grant.
//
// Router is the task that remembers how busy the cells are. An outlet is the task that delivers reports to one other node.
// Reception is the task that serves the routers of other nodes.
package router
