// Package check decodes JSON documents strictly. It reports all faults of a
// document at once, each with the path of its field.
package check

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"sort"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"
)

// Fault is one problem in a document.
type Fault struct {
	// Path is the path of the field, such as "controls[1].peer_address"; "." is
	// the whole document.
	Path string `json:"path"`
	// Problem describes what is wrong and what to write instead.
	Problem string `json:"problem"`
}

// Faults collects the faults of a document. Its zero value is ready to use.
type Faults struct {
	List []Fault
}

// Add records a problem with the field at path. Only the first problem of a field
// is recorded, because later ones mostly follow from it.
func (f *Faults) Add(path, format string, args ...any) {
	if f.Has(path) {
		return
	}
	f.List = append(f.List, Fault{Path: path, Problem: fmt.Sprintf(format, args...)})
}

// Has reports whether the field at path has a fault; "." is the whole document.
func (f *Faults) Has(path string) bool {
	for _, fault := range f.List {
		if fault.Path == path {
			return true
		}
	}
	return false
}

// Err returns nil if there are no faults, and an *Error otherwise.
func (f *Faults) Err() error {
	if len(f.List) == 0 {
		return nil
	}
	return &Error{Faults: f.List}
}

// Error is the error for a document with faults.
type Error struct {
	Faults []Fault
}

// Error returns one line per fault.
func (e *Error) Error() string {
	lines := make([]string, 0, len(e.Faults))
	for _, fault := range e.Faults {
		lines = append(lines, fault.Path+": "+fault.Problem)
	}
	return strings.Join(lines, "\n")
}

// Decode decodes the JSON document data into target, a pointer to a struct, and
// adds a fault for each unknown field and wrong type. Fields without faults are
// set.
func Decode(data []byte, target any, faults *Faults) {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.UseNumber()
	var value any
	err := decoder.Decode(&value)
	if err != nil {
		faults.Add(".", "is not valid JSON: %s", describeError(err, data))
		return
	}
	if decoder.More() {
		faults.Add(".", "has content after the JSON document: remove it")
		return
	}
	decodeValue(value, reflect.ValueOf(target).Elem(), "", faults)
}

// describeError returns the text of err, for a syntax error with its line in data.
func describeError(err error, data []byte) string {
	var syntax *json.SyntaxError
	if !errors.As(err, &syntax) {
		return err.Error()
	}
	end := min(int(syntax.Offset), len(data))
	line := bytes.Count(data[:end], []byte("\n")) + 1
	return fmt.Sprintf("line %d: %s", line, syntax.Error())
}

func decodeValue(value any, target reflect.Value, path string, faults *Faults) {
	if value == nil {
		return
	}
	custom, ok := target.Addr().Interface().(json.Unmarshaler)
	if ok {
		decodeCustom(value, custom, path, faults)
		return
	}
	switch target.Kind() {
	case reflect.Struct:
		decodeStruct(value, target, path, faults)
	case reflect.Map:
		decodeMap(value, target, path, faults)
	case reflect.Slice:
		decodeSlice(value, target, path, faults)
	case reflect.Pointer:
		target.Set(reflect.New(target.Type().Elem()))
		decodeValue(value, target.Elem(), path, faults)
	default:
		decodeScalar(value, target, path, faults)
	}
}

// decodeCustom decodes value with the target's own UnmarshalJSON.
func decodeCustom(value any, target json.Unmarshaler, path string, faults *Faults) {
	data, err := json.Marshal(value)
	if err == nil {
		err = target.UnmarshalJSON(data)
	}
	if err != nil {
		faults.Add(path, "%s", err)
	}
}

func decodeStruct(value any, target reflect.Value, path string, faults *Faults) {
	object, ok := value.(map[string]any)
	if !ok {
		faults.Add(pathOrRoot(path), "must be an object")
		return
	}
	fields := cachedFields(target.Type())
	for _, name := range sortedKeys(object) {
		index, known := fields[name]
		if !known {
			faults.Add(joinPath(path, name), "is not a known field: remove it or correct its name")
			continue
		}
		decodeValue(object[name], target.Field(index), joinPath(path, name), faults)
	}
}

// fieldCache maps each struct type to its fields, as a map from JSON name to field
// index.
var fieldCache sync.Map

// cachedFields returns readFields of a struct type, from fieldCache if possible.
func cachedFields(structure reflect.Type) map[string]int {
	known, found := fieldCache.Load(structure)
	if found {
		return known.(map[string]int)
	}
	read := readFields(structure)
	fieldCache.Store(structure, read)
	return read
}

// readFields returns the indexes of a struct's fields by their JSON names.
func readFields(structure reflect.Type) map[string]int {
	fields := make(map[string]int)
	for i := range structure.NumField() {
		name, _, _ := strings.Cut(structure.Field(i).Tag.Get("json"), ",")
		if name != "" && name != "-" {
			fields[name] = i
		}
	}
	return fields
}

func decodeMap(value any, target reflect.Value, path string, faults *Faults) {
	object, ok := value.(map[string]any)
	if !ok {
		faults.Add(pathOrRoot(path), "must be an object")
		return
	}
	target.Set(reflect.MakeMapWithSize(target.Type(), len(object)))
	for _, name := range sortedKeys(object) {
		element := reflect.New(target.Type().Elem()).Elem()
		decodeValue(object[name], element, joinPath(path, name), faults)
		target.SetMapIndex(reflect.ValueOf(name).Convert(target.Type().Key()), element)
	}
}

func decodeSlice(value any, target reflect.Value, path string, faults *Faults) {
	list, ok := value.([]any)
	if !ok {
		faults.Add(pathOrRoot(path), "must be a list")
		return
	}
	target.Set(reflect.MakeSlice(target.Type(), len(list), len(list)))
	for i, element := range list {
		decodeValue(element, target.Index(i), fmt.Sprintf("%s[%d]", path, i), faults)
	}
}

func decodeScalar(value any, target reflect.Value, path string, faults *Faults) {
	text, isText := value.(string)
	if isText && target.Kind() == reflect.String {
		target.SetString(text)
		return
	}
	data, err := json.Marshal(value)
	if err == nil {
		err = json.Unmarshal(data, target.Addr().Interface())
	}
	if err != nil {
		faults.Add(pathOrRoot(path), "must be %s", describeKind(target.Kind()))
	}
}

func describeKind(kind reflect.Kind) string {
	switch kind {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Float64, reflect.Float32:
		return "a number"
	default:
		return "a whole number within range"
	}
}

func sortedKeys(object map[string]any) []string {
	keys := make([]string, 0, len(object))
	for key := range object {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// pathOrRoot returns path, or "." for the whole document if path is empty.
func pathOrRoot(path string) string {
	if path == "" {
		return "."
	}
	return path
}
