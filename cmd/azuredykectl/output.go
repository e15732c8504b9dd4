package main

import (
	"encoding/json"

	"github.com/zeebo/errs"
	"go.yaml.in/yaml/v3"
)

// Formats of the output.
const (
	outputTable = "table"
	outputJSON  = "json"
	outputYAML  = "yaml"
)

// outputs lists the formats.
var outputs = []string{outputTable, outputJSON, outputYAML}

// print shows a value in the chosen format; table is called for the table.
func (a *app) print(value any, table func() table) error {
	switch a.output {
	case outputJSON:
		encoder := json.NewEncoder(a.out)
		encoder.SetIndent("", "  ")
		return errs.Wrap(encoder.Encode(value))
	case outputYAML:
		return a.printYAML(value)
	default:
		return table().write(a.out)
	}
}

// printYAML writes one document, or one for each document of a list, so that the output can be applied again.
func (a *app) printYAML(value any) error {
	encoder := yaml.NewEncoder(a.out)
	encoder.SetIndent(2)
	if documents, ok := value.([]*document); ok {
		for _, d := range documents {
			if err := encoder.Encode(d); err != nil {
				return errs.Wrap(err)
			}
		}
		return errs.Wrap(encoder.Close())
	}
	return errs.Combine(encoder.Encode(value), encoder.Close())
}
