package settings

import (
	"errors"
	"fmt"
	"regexp"
	"strconv"

	"go.yaml.in/yaml/v3"
)

// keyIndex maps the lines of a settings file to keys, and keys to lines, so that each error can name both.
type keyIndex struct {
	keyOfLine map[int]string
	lineOfKey map[string]int
}

// linePattern matches the error messages of the YAML library, which start with the line.
var linePattern = regexp.MustCompile(`line (\d+): (.*)`)

// newKeyIndex returns the index of the file, which is empty if the file is not YAML.
func newKeyIndex(data []byte) keyIndex {
	index := keyIndex{keyOfLine: map[int]string{}, lineOfKey: map[string]int{}}
	var root yaml.Node
	if yaml.Unmarshal(data, &root) == nil && len(root.Content) > 0 {
		index.add("", root.Content[0])
	}
	return index
}

// add indexes the keys below one YAML node.
func (x keyIndex) add(prefix string, node *yaml.Node) {
	switch node.Kind {
	case yaml.MappingNode:
		for i := 0; i+1 < len(node.Content); i += 2 {
			key, value := node.Content[i], node.Content[i+1]
			path := key.Value
			if prefix != "" {
				path = prefix + "." + key.Value
			}
			x.keyOfLine[key.Line] = path
			x.lineOfKey[path] = key.Line
			x.add(path, value)
		}
	case yaml.SequenceNode:
		for i, item := range node.Content {
			x.add(fmt.Sprintf("%s[%d]", prefix, i), item)
		}
	}
}

// describe splits a decoding error into its messages and adds the key to each of them.
func (x keyIndex) describe(err error) []error {
	var typeError *yaml.TypeError
	if !errors.As(err, &typeError) {
		return []error{err}
	}
	var described []error
	for _, message := range typeError.Errors {
		described = append(described, x.describeMessage(message))
	}
	return described
}

func (x keyIndex) describeMessage(message string) error {
	match := linePattern.FindStringSubmatch(message)
	if match == nil {
		return errors.New(message)
	}
	line, _ := strconv.Atoi(match[1])
	if key, ok := x.keyOfLine[line]; ok {
		return fmt.Errorf("line %d: %s: %s", line, key, match[2])
	}
	return errors.New(message)
}

// locate returns the problems as errors, with the line of each key that is in the file.
func (x keyIndex) locate(problems []problem) []error {
	var located []error
	for _, p := range problems {
		if line, ok := x.lineOfKey[p.key]; ok {
			located = append(located, fmt.Errorf("line %d: %s: %s", line, p.key, p.message))
			continue
		}
		located = append(located, fmt.Errorf("%s: %s", p.key, p.message))
	}
	return located
}
