package file

import (
	"bytes"
	"encoding/json"
	"strings"

	"github.com/zeebo/errs"
	"go.yaml.in/yaml/v3"

	"azuredyke.dev/azuredyke/backing"
)

// Error is the class of the errors of this package.
var Error = errs.Class("configuration file")

// Keys of the configuration in a key-value service (docs/design.md, section 9).
const (
	headKey       = "config/head"
	objectsPrefix = "config/objects/"
)

// document is the content of the file. Its objects are decoded one by one, so that an error can name the line of the object.
type document struct {
	Revision int64       `yaml:"revision"`
	Objects  []yaml.Node `yaml:"objects"`
}

// parse returns the file as entries of a key-value service, in no particular order.
func parse(data []byte) (backing.RangeResult, error) {
	var d document
	if err := decodeStrict(data, &d); err != nil {
		return backing.RangeResult{}, err
	}
	if d.Revision <= 0 {
		return backing.RangeResult{}, Error.New("revision must be at least 1")
	}
	result := backing.RangeResult{Revision: d.Revision}
	add := func(key string, value any) error {
		encoded, err := json.Marshal(value)
		result.Entries = append(result.Entries, backing.Entry{
			Key: key, Value: encoded, CreateRevision: d.Revision, ModRevision: d.Revision,
		})
		return Error.Wrap(err)
	}
	if err := add(headKey, struct{ Revision int64 }{d.Revision}); err != nil {
		return backing.RangeResult{}, err
	}
	for i := range d.Objects {
		o, err := parseObject(&d.Objects[i])
		if err != nil {
			return backing.RangeResult{}, Error.New("object in line %d: %w", d.Objects[i].Line, err)
		}
		if err := add(objectsPrefix+string(o.Kind)+"/"+o.Name, o.atRevision(d.Revision)); err != nil {
			return backing.RangeResult{}, err
		}
	}
	return result, nil
}

func parseObject(node *yaml.Node) (object, error) {
	flattenKeys(node)
	data, err := yaml.Marshal(node)
	if err != nil {
		return object{}, Error.Wrap(err)
	}
	var o object
	if err := decodeStrict(data, &o); err != nil {
		return object{}, err
	}
	if o.Kind == "" || o.Name == "" {
		return object{}, Error.New("kind and name are required")
	}
	return o, nil
}

// flattenKeys converts keys such as cold_limit into the form that the decoder expects for a Go field, such as coldlimit.
func flattenKeys(node *yaml.Node) {
	for i, child := range node.Content {
		if node.Kind == yaml.MappingNode && i%2 == 0 {
			child.Value = strings.ToLower(strings.ReplaceAll(child.Value, "_", ""))
		}
		flattenKeys(child)
	}
}

// decodeStrict decodes YAML and returns an error for unknown fields.
func decodeStrict(data []byte, target any) error {
	decoder := yaml.NewDecoder(bytes.NewReader(data))
	decoder.KnownFields(true)
	return Error.Wrap(decoder.Decode(target))
}
