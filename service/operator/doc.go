// Package operator serves the operator API. It translates between the RPC types and the types of package config;
// configuration.Changer decides whether a change is accepted.
package operator
