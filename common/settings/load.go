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

// Load reads and validates a settings file. It returns all problems of the file as one error.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, Error.Wrap(err)
	}
	return Parse(data)
}

// Parse decodes and validates settings.
func Parse(data []byte) (Settings, error) {
	s := Default()
	err := decode(data, &s, func() []problem {
		s.deriveDefaults()
		return s.check()
	})
	if err != nil {
		return Settings{}, err
	}
	return s, nil
}

// decode decodes data into target, which holds the defaults, and calls check to validate the result.
func decode(data []byte, target any, check func() []problem) error {
	index := newKeyIndex(data)
	decoder := yaml.NewDecoder(bytes.NewReader(data))
	decoder.KnownFields(true)
	if err := decoder.Decode(target); err != nil && !errors.Is(err, io.EOF) {
		return Error.Wrap(errors.Join(index.describe(err)...))
	}
	if problems := check(); len(problems) > 0 {
		return Error.Wrap(errors.Join(index.locate(problems)...))
	}
	return nil
}

// deriveDefaults sets the values that default to the values of other keys.
func (s *Settings) deriveDefaults() {
	if s.Listen.PeersAdvertised == "" {
		s.Listen.PeersAdvertised = s.Listen.Peers
	}
	if s.Node.ID == "" {
		s.Node.ID = s.Listen.PeersAdvertised
	}
}
