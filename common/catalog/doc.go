// Package catalog holds the immutable types that describe routes, services, workspaces and endpoints.
package catalog
