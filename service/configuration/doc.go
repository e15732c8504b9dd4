// Package configuration maintains the operators' configuration that is in force on this node, and writes changes of the
// configuration to the platform's key-value service.
//
// Manager owns the snapshot in force. Changer makes changes, one at a time. Watcher follows the key-value service.
// Distributor exchanges new revisions with other nodes.
package configuration
