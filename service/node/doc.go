// Package node assembles the tasks of one node and runs them until the node stops.
package node
