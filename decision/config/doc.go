// Package config decides what the operators' configuration is: its objects, which changes are valid, which conflict, and
// which snapshot is newer. It has no I/O, clock or encoding.
package config
