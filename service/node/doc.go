// Package node creates the tasks of one node and runs them until the node stops.
package node
