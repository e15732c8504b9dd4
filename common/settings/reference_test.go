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

// references maps each page to the defaults of the settings that it describes.
var references = map[string]any{referencePath: Default(), edgeReferencePath: defaultEdge()}

// Columns of a table row, split at the bars. Each row begins and ends with a bar.
const (
	keyColumn     = 1
	defaultColumn = 4
	columns       = 7
)

// Guards against a setting that the reference omits or lists twice, and against a listed setting that does not exist.
func TestReferenceNamesEveryKey(t *testing.T) {
	for path, defaults := range references {
		var documented, keys []string
		for _, row := range referenceRows(t, path) {
			documented = append(documented, row[keyColumn])
		}
		for key := range valuesByKey(reflect.ValueOf(defaults), "") {
			keys = append(keys, key)
		}
		slices.Sort(keys)
		slices.Sort(documented)
		assert.DeepEqual(t, documented, keys)
	}
}

// Guards against a default in the reference that differs from the code. A default that is not a value, such as "empty" or
// the name of another key, stands for the zero value.
func TestReferenceStatesDefaults(t *testing.T) {
	for path, defaults := range references {
		values := valuesByKey(reflect.ValueOf(defaults), "")
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

// referenceRows returns the cells of those table rows of the page whose first cell is a key. The key is unquoted.
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

// valuesByKey returns the values of a settings struct by key. Keys consist of the yaml tags. The fields of a list of structs
// have keys like "key[].field" and zero values.
func valuesByKey(v reflect.Value, prefix string) map[string]reflect.Value {
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
		for k, f := range valuesByKey(field, key+".") {
			values[k] = f
		}
	}
	return values
}
