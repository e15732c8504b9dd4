// Package buffer decides how many bytes a node may buffer for each caller that reads its stream slowly.
//
// It addresses many slow callers at once: each of them may leave a whole answer in the memory of the node.
package buffer
