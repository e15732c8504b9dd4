package settings

import (
	"errors"
	"fmt"
	"regexp"
	"strconv"

	"go.yaml.in/yaml/v3"
)

// keyIndex maps lines of a settings file to keys and back, so that each error can name both.
type keyIndex struct {
	keyOfLine map[int]string
	lineOfKey map[string]int
}

// linePattern is how the YAML library starts its messages.
var linePattern = regexp.MustCompile(`line (\d+): (.*)`)

// newKeyIndex reads the structure of the file; a file that is not YAML gives an empty index.
func newKeyIndex(data []byte) keyIndex {
	index := keyIndex{keyOfLine: map[int]string{}, lineOfKey: map[string]int{}}
	var root yaml.Node
	if yaml.Unmarshal(data, &root) == nil && len(root.Content) > 0 {
		index.add("", root.Content[0])
	}
	return index
}

// add records the keys below one node.
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

// describe names the key in each message of a decoding error.
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

// locate adds the line to each problem whose key is in the file.
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
