package main

import (
	"bytes"
	"errors"
	"io"

	"go.yaml.in/yaml/v3"
)

const (
	// maxDocumentFileBytes bounds the size of an input file.
	maxDocumentFileBytes = 16 << 20
	// maxDocuments bounds the number of changes in one command.
	maxDocuments = 10_000
)

// parseDocuments decodes a stream of YAML documents. Unknown and repeated keys are errors; empty documents are skipped.
func parseDocuments(data []byte) ([]document, error) {
	if len(data) > maxDocumentFileBytes {
		return nil, errUsage.New("the input is longer than %d bytes", maxDocumentFileBytes)
	}
	decoder := yaml.NewDecoder(bytes.NewReader(data))
	decoder.KnownFields(true)
	var documents []document
	for n := 1; ; n++ {
		var d *document
		err := decoder.Decode(&d)
		if errors.Is(err, io.EOF) {
			return documents, nil
		}
		if err != nil {
			return nil, errUsage.New("document %d: %w", n, err)
		}
		if d == nil {
			continue
		}
		if len(documents) == maxDocuments {
			return nil, errUsage.New("the input holds more than %d documents", maxDocuments)
		}
		if d.Revision != nil && *d.Revision < 0 {
			return nil, errUsage.New("document %d: revision must not be negative", n)
		}
		documents = append(documents, *d)
	}
}
