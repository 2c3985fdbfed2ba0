package check

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strings"

	"github.com/primroseloom/primroseloom/config/document"
)

// maxShownBytes is the maximum length of the invalid value that a problem quotes.
const maxShownBytes = 80

var rawMessage = reflect.TypeFor[json.RawMessage]()

// decode decodes a deployment and reports each unknown field and wrong type.
func decode(content []byte, into *document.Deployment) []Problem {
	checker := typeChecker{}
	checker.checkValue(content, reflect.TypeFor[document.Deployment](), "")
	if len(checker.problems) > 0 {
		return checker.problems
	}
	if err := json.Unmarshal(content, into); err != nil {
		checker.add("deployment", content, err.Error())
	}
	return checker.problems
}

// typeChecker compares a JSON text with a Go type, field by field.
type typeChecker struct {
	problems []Problem
}

func (w *typeChecker) add(path string, content []byte, allowed string) {
	shown := string(content)
	if len(shown) > maxShownBytes {
		shown = shown[:maxShownBytes] + "..."
	}
	if path == "" {
		path = "deployment"
	}
	w.problems = append(w.problems, Problem{Path: path, Value: shown, Allowed: allowed})
}

func (w *typeChecker) checkValue(content json.RawMessage, kind reflect.Type, path string) {
	switch {
	case kind == rawMessage:
		return
	case kind.Kind() == reflect.Struct:
		w.checkObject(content, kind, path)
	case kind.Kind() == reflect.Slice:
		w.checkList(content, kind, path)
	default:
		if err := json.Unmarshal(content, reflect.New(kind).Interface()); err != nil {
			w.add(path, content, err.Error())
		}
	}
}

func (w *typeChecker) checkList(content json.RawMessage, kind reflect.Type, path string) {
	var items []json.RawMessage
	if err := json.Unmarshal(content, &items); err != nil {
		w.add(path, content, "want a list: "+err.Error())
		return
	}
	for i, item := range items {
		w.checkValue(item, kind.Elem(), fmt.Sprintf("%s[%d]", path, i))
	}
}

func (w *typeChecker) checkObject(content json.RawMessage, kind reflect.Type, path string) {
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
			w.add(at, members[name], "unknown field; known fields are "+strings.Join(sortedKeys(known), ", "))
			continue
		}
		w.checkValue(members[name], fieldType, at)
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
