package main

import (
	"io"
	"os"

	"github.com/zeebo/errs"
)

// readInput reads a file, or standard input if path is "-". It stops one byte after maxDocumentFileBytes, so that
// parseDocuments can detect input that is too long.
func (a *app) readInput(path string) ([]byte, error) {
	in := a.in
	if path != "-" {
		file, err := os.Open(path)
		if err != nil {
			return nil, errs.Wrap(err)
		}
		defer file.Close()
		in = file
	}
	data, err := io.ReadAll(io.LimitReader(in, maxDocumentFileBytes+1))
	return data, errs.Wrap(err)
}
