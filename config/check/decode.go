package check

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strings"

	"github.com/primroseloom/primroseloom/config/document"
)

// maxShownBytes bounds the part of a wrong value that a problem repeats.
const maxShownBytes = 80

var rawMessage = reflect.TypeFor[json.RawMessage]()

// decode reads a deployment and reports each unknown field and wrong type.
func decode(content []byte, into *document.Deployment) []Problem {
	walk := walker{}
	walk.value(content, reflect.TypeFor[document.Deployment](), "")
	if len(walk.problems) > 0 {
		return walk.problems
	}
	if err := json.Unmarshal(content, into); err != nil {
		walk.add("deployment", content, err.Error())
	}
	return walk.problems
}

// walker compares a JSON text with a type, field by field.
type walker struct {
	problems []Problem
}

func (w *walker) add(path string, content []byte, allowed string) {
	shown := string(content)
	if len(shown) > maxShownBytes {
		shown = shown[:maxShownBytes] + "..."
	}
	if path == "" {
		path = "deployment"
	}
	w.problems = append(w.problems, Problem{Path: path, Value: shown, Allowed: allowed})
}

func (w *walker) value(content json.RawMessage, kind reflect.Type, path string) {
	switch {
	case kind == rawMessage:
		return
	case kind.Kind() == reflect.Struct:
		w.object(content, kind, path)
	case kind.Kind() == reflect.Slice:
		w.list(content, kind, path)
	default:
		if err := json.Unmarshal(content, reflect.New(kind).Interface()); err != nil {
			w.add(path, content, err.Error())
		}
	}
}

func (w *walker) list(content json.RawMessage, kind reflect.Type, path string) {
	var items []json.RawMessage
	if err := json.Unmarshal(content, &items); err != nil {
		w.add(path, content, "want a list: "+err.Error())
		return
	}
	for i, item := range items {
		w.value(item, kind.Elem(), fmt.Sprintf("%s[%d]", path, i))
	}
}

func (w *walker) object(content json.RawMessage, kind reflect.Type, path string) {
	var members map[string]json.RawMessage
	if err := json.Unmarshal(content, &members); err != nil {
		w.add(path, content, "want an object: "+err.Error())
		return
	}
	known := fieldTypes(kind)
	for _, name := range sortedKeys(members) {
		at := strings.TrimPrefix(path+"."+name, ".")
		fieldType, ok := known[name]
		if !ok {
			w.add(at, members[name], "unknown field; known are "+strings.Join(sortedKeys(known), ", "))
			continue
		}
		w.value(members[name], fieldType, at)
	}
}

func fieldTypes(kind reflect.Type) map[string]reflect.Type {
	types := make(map[string]reflect.Type, kind.NumField())
	for i := range kind.NumField() {
		name, _, _ := strings.Cut(kind.Field(i).Tag.Get("json"), ",")
		types[name] = kind.Field(i).Type
	}
	return types
}

func sortedKeys[V any](members map[string]V) []string {
	keys := make([]string, 0, len(members))
	for key := range members {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
