package main

import (
	"io"
	"os"

	"github.com/zeebo/errs"
)

// readInput reads a file, or the standard input for "-".
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
	data, err := io.ReadAll(io.LimitReader(in, maxInputBytes+1))
	return data, errs.Wrap(err)
}
