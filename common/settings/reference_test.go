package settings

import (
	"os"
	"reflect"
	"slices"
	"strings"
	"testing"

	"go.yaml.in/yaml/v3"
	"gotest.tools/v3/assert"
)

// Paths of the settings references, relative to this package.
const (
	referencePath     = "../../docs/operating/settings.md"
	edgeReferencePath = "../../docs/operating/edge-settings.md"
)

// references are the pages and the settings with their defaults that they describe.
var references = map[string]any{referencePath: Default(), edgeReferencePath: defaultEdge()}

// Columns of the tables of the reference, of which each row begins and ends with a bar.
const (
	keyColumn     = 1
	defaultColumn = 4
	columns       = 7
)

// Guards against a setting that the reference leaves out, names twice or invents.
func TestReferenceNamesEveryKey(t *testing.T) {
	for path, defaults := range references {
		var documented, keys []string
		for _, row := range referenceRows(t, path) {
			documented = append(documented, row[keyColumn])
		}
		for key := range valuesOf(reflect.ValueOf(defaults), "") {
			keys = append(keys, key)
		}
		slices.Sort(keys)
		slices.Sort(documented)
		assert.DeepEqual(t, documented, keys)
	}
}

// Guards against a default in the reference that is not the one in force. A default that is not a value, like "empty" or the
// name of another key, stands for the zero value.
func TestReferenceStatesDefaults(t *testing.T) {
	for path, defaults := range references {
		values := valuesOf(reflect.ValueOf(defaults), "")
		for _, row := range referenceRows(t, path) {
			actual, ok := values[row[keyColumn]]
			assert.Assert(t, ok, row[keyColumn])
			stated := reflect.New(actual.Type())
			text, quoted := strings.CutPrefix(row[defaultColumn], "`")
			text = strings.TrimSuffix(text, "`")
			if _, isKey := values[text]; quoted && !isKey {
				assert.NilError(t, yaml.Unmarshal([]byte(text), stated.Interface()), row[keyColumn])
			}
			assert.DeepEqual(t, stated.Elem().Interface(), actual.Interface())
		}
	}
}

// referenceRows returns the cells of the rows of the reference whose first cell is a key, with the key unquoted.
func referenceRows(t *testing.T, path string) [][]string {
	t.Helper()
	page, err := os.ReadFile(path)
	assert.NilError(t, err)
	var rows [][]string
	for _, line := range strings.Split(string(page), "\n") {
		if !strings.HasPrefix(line, "| `") {
			continue
		}
		cells := strings.Split(line, "|")
		assert.Equal(t, len(cells), columns, line)
		for i := range cells {
			cells[i] = strings.TrimSpace(cells[i])
		}
		cells[keyColumn] = strings.Trim(cells[keyColumn], "`")
		rows = append(rows, cells)
	}
	return rows
}

// valuesOf returns the values of a settings struct by their keys, which are made of the yaml tags. Items of lists of structs
// have keys like "key[].field" and zero values.
func valuesOf(v reflect.Value, prefix string) map[string]reflect.Value {
	values := map[string]reflect.Value{}
	for i := range v.NumField() {
		name, _, _ := strings.Cut(v.Type().Field(i).Tag.Get("yaml"), ",")
		key, field := prefix+name, v.Field(i)
		if field.Kind() == reflect.Slice && field.Type().Elem().Kind() == reflect.Struct {
			key, field = key+"[]", reflect.Zero(field.Type().Elem())
		}
		if field.Kind() != reflect.Struct {
			values[key] = field
			continue
		}
		for k, f := range valuesOf(field, key+".") {
			values[k] = f
		}
	}
	return values
}
