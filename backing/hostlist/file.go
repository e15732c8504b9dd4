package hostlist

import (
	"context"
	"os"

	"azuredyke.dev/azuredyke/backing"
	"azuredyke.dev/azuredyke/common/message"
)

// File reads the list from a file at each call of Fetch.
type File struct {
	path string
}

// NewFile returns a File that reads path.
func NewFile(path string) *File { return &File{path: path} }

// Fetch implements backing.HostList.
func (f *File) Fetch(context.Context) ([]message.Host, error) {
	data, err := os.ReadFile(f.path)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return parse(data)
}

var _ backing.HostList = (*File)(nil)
