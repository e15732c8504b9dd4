package settings

import (
	"os"
	"reflect"
	"regexp"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// referencePath is the settings reference, relative to this package.
const referencePath = "../../docs/operating/settings.md"

// referenceKey matches the key in the first column of a table of the reference.
var referenceKey = regexp.MustCompile("(?m)^\\| `([^`]+)` \\|")

// Guards against a setting that the reference leaves out, names twice or invents.
func TestReferenceNamesEveryKey(t *testing.T) {
	page, err := os.ReadFile(referencePath)
	assert.NilError(t, err)
	var documented []string
	for _, match := range referenceKey.FindAllStringSubmatch(string(page), -1) {
		documented = append(documented, match[1])
	}
	keys := keysOf(reflect.TypeFor[Settings](), "")
	slices.Sort(keys)
	slices.Sort(documented)
	assert.DeepEqual(t, documented, keys)
}

// keysOf returns the keys of a settings type by its yaml tags; items of lists of structs are written as "key[].field".
func keysOf(t reflect.Type, prefix string) []string {
	var keys []string
	for _, field := range reflect.VisibleFields(t) {
		name, _, _ := strings.Cut(field.Tag.Get("yaml"), ",")
		key := prefix + name
		fieldType := field.Type
		if fieldType.Kind() == reflect.Slice && fieldType.Elem().Kind() == reflect.Struct {
			key += "[]"
			fieldType = fieldType.Elem()
		}
		if fieldType.Kind() == reflect.Struct {
			keys = append(keys, keysOf(fieldType, key+".")...)
			continue
		}
		keys = append(keys, key)
	}
	return keys
}
