package check

import (
	"os"
	"reflect"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/primroseloom/primroseloom/config/document"
)

// TestPageListsEveryField checks that docs/CONFIGURATION.md lists exactly the
// fields of the document types.
func TestPageListsEveryField(t *testing.T) {
	content, err := os.ReadFile("../../docs/CONFIGURATION.md")
	if err != nil {
		t.Fatal(err)
	}
	page := string(content)
	_, page, _ = strings.Cut(page, "## Deployment")
	page, _, _ = strings.Cut(page, "## Values")
	var listed []string
	for _, row := range regexp.MustCompile("(?m)^\\| `([^`]+)`").FindAllStringSubmatch(page, -1) {
		listed = append(listed, row[1])
	}
	known := fieldPaths(reflect.TypeFor[document.Deployment](), "")
	slices.Sort(listed)
	slices.Sort(known)
	if !slices.Equal(listed, known) {
		t.Errorf("the page lists\n%s\nthe code has\n%s", strings.Join(listed, "\n"), strings.Join(known, "\n"))
	}
	for _, key := range []string{document.RootKey, document.ShardKeyPrefix + "DIGEST", document.VMListKey} {
		if !strings.Contains(string(content), "`"+key+"`") {
			t.Errorf("the page does not list key %s", key)
		}
	}
}

// fieldPaths lists the JSON paths of a type.
func fieldPaths(kind reflect.Type, prefix string) []string {
	if kind.Kind() == reflect.Slice && kind != rawMessage {
		return fieldPaths(kind.Elem(), strings.TrimSuffix(prefix, ".")+"[].")
	}
	if kind.Kind() != reflect.Struct {
		return nil
	}
	var paths []string
	for name, field := range fieldTypes(kind) {
		paths = append(paths, prefix+name)
		paths = append(paths, fieldPaths(field, prefix+name+".")...)
	}
	return paths
}
