package main

import (
	"maps"
	"strings"

	"github.com/spf13/cobra"
	"go.yaml.in/yaml/v3"
)

// specFlags holds the flags that set fields of a spec.
type specFlags struct {
	file        string
	assignments []string
}

func (f *specFlags) addFlags(cmd *cobra.Command) {
	cmd.Flags().StringVarP(&f.file, "file", "f", "", "YAML document with the fields in its spec, or - for standard input")
	cmd.Flags().StringArrayVar(&f.assignments, "set", nil, "field=value, where the value is YAML, such as cold_limit=2 or models=[a,b]; repeatable")
}

// readDocument returns a document with the fields from --file and --set. Fields from --set override those in the file.
func (f *specFlags) readDocument(a *app, kind *objectKind, name string) (document, error) {
	d := document{Kind: kind.fieldName, Name: name, Spec: map[string]any{}}
	if f.file == "" && len(f.assignments) == 0 {
		return d, errUsage.New("no fields given; use --file or --set")
	}
	if f.file != "" {
		data, err := a.readInput(f.file)
		if err != nil {
			return d, err
		}
		documents, err := parseDocuments(data)
		if err != nil {
			return d, err
		}
		if len(documents) != 1 {
			return d, errUsage.New("%s holds %d documents, want exactly one", f.file, len(documents))
		}
		given := documents[0]
		if k, ok := kindByName(given.Kind); given.Kind != "" && (!ok || k != kind) {
			return d, errUsage.New("the document has kind %q, want %s", given.Kind, kind.fieldName)
		}
		if given.Name != "" && given.Name != name {
			return d, errUsage.New("the document has the name %q, want %s", given.Name, name)
		}
		d.Revision = given.Revision
		maps.Copy(d.Spec, given.Spec)
	}
	for _, item := range f.assignments {
		field, text, ok := strings.Cut(item, "=")
		if !ok {
			return d, errUsage.New("--set must have the form field=value")
		}
		var value any
		if err := yaml.Unmarshal([]byte(text), &value); err != nil {
			return d, errUsage.New("--set %s: %w", field, err)
		}
		d.Spec[field] = value
	}
	return d, nil
}
