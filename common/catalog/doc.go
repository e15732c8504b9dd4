// Package catalog holds the immutable description of what a node serves: routes, services, workspaces and endpoints.
package catalog
