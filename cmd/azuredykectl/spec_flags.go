package main

import (
	"maps"
	"strings"

	"github.com/spf13/cobra"
	"go.yaml.in/yaml/v3"
)

// specFlags holds the flags that give fields of a spec.
type specFlags struct {
	file string
	set  []string
}

func (f *specFlags) addFlags(cmd *cobra.Command) {
	cmd.Flags().StringVarP(&f.file, "file", "f", "", "YAML document whose spec gives the fields; - reads the standard input")
	cmd.Flags().StringArrayVar(&f.set, "set", nil, "field=value with a YAML value, such as cold_limit=2 or models=[a,b]; repeatable")
}

// read returns the document that the file and the flags give; flags go before the file.
func (f *specFlags) read(a *app, kind *objectKind, name string) (document, error) {
	d := document{Kind: kind.field, Name: name, Spec: map[string]any{}}
	if f.file == "" && len(f.set) == 0 {
		return d, errUsage.New("give the fields by --file or --set")
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
			return d, errUsage.New("%s holds %d documents rather than one", f.file, len(documents))
		}
		given := documents[0]
		if k, ok := kindByName(given.Kind); given.Kind != "" && (!ok || k != kind) {
			return d, errUsage.New("the document is of kind %q rather than %s", given.Kind, kind.field)
		}
		if given.Name != "" && given.Name != name {
			return d, errUsage.New("the document is named %q rather than %s", given.Name, name)
		}
		d.Revision = given.Revision
		maps.Copy(d.Spec, given.Spec)
	}
	for _, item := range f.set {
		field, text, ok := strings.Cut(item, "=")
		if !ok {
			return d, errUsage.New("--set must be field=value")
		}
		var value any
		if err := yaml.Unmarshal([]byte(text), &value); err != nil {
			return d, errUsage.New("--set %s: %w", field, err)
		}
		d.Spec[field] = value
	}
	return d, nil
}
