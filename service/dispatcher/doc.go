// Package dispatcher runs the cells that this node owns. Dispatcher starts and stops cells, Cell admits requests to the
// endpoints of one cell, and loadPoller reads the load reports of one endpoint.
package dispatcher
