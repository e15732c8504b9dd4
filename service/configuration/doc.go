// Package configuration keeps the operators' configuration in force on this node and makes changes to it in the
// platform's key-value service.
//
// Keeper owns the snapshot in force. Changer makes changes, one at a time. Watcher follows the key-value service.
package configuration
