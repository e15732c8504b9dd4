package settings

import (
	"bytes"
	"errors"
	"io"
	"os"

	"github.com/zeebo/errs"
	"go.yaml.in/yaml/v3"
)

// Error is the class of the errors of this package.
var Error = errs.Class("settings")

// Load reads and checks a settings file. All errors of the file are returned together.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, Error.Wrap(err)
	}
	return Parse(data)
}

// Parse decodes and checks settings.
func Parse(data []byte) (Settings, error) {
	s := Default()
	index := newKeyIndex(data)
	decoder := yaml.NewDecoder(bytes.NewReader(data))
	decoder.KnownFields(true)
	if err := decoder.Decode(&s); err != nil && !errors.Is(err, io.EOF) {
		return Settings{}, Error.Wrap(errors.Join(index.describe(err)...))
	}
	s.fill()
	if problems := s.check(); len(problems) > 0 {
		return Settings{}, Error.Wrap(errors.Join(index.locate(problems)...))
	}
	return s, nil
}

// fill derives values that default to others.
func (s *Settings) fill() {
	if s.Listen.PeersAdvertised == "" {
		s.Listen.PeersAdvertised = s.Listen.Peers
	}
	if s.Node.ID == "" {
		s.Node.ID = s.Listen.PeersAdvertised
	}
}
