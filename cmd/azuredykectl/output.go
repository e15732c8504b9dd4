package main

import (
	"encoding/json"

	"github.com/zeebo/errs"
	"go.yaml.in/yaml/v3"
)

// Output formats.
const (
	outputTable = "table"
	outputJSON  = "json"
	outputYAML  = "yaml"
)

var outputFormats = []string{outputTable, outputJSON, outputYAML}

// print writes a value in the selected output format. It calls table only for the table format.
func (a *app) print(value any, table func() table) error {
	switch a.outputFormat {
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

// printYAML writes a value as YAML. A list of objects becomes a stream of documents, which the apply command accepts.
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
