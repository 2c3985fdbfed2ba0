package settings

import (
	"encoding/json"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"reflect"
	"strings"
	"testing"

	"github.com/primroseloom/primroseloom/entry/internal/docpage"
)

// TestPageListsEveryField checks that docs/SETTINGS.md matches the field comments.
func TestPageListsEveryField(t *testing.T) {
	var page strings.Builder
	page.WriteString("# Settings of a VM\n\n")
	page.WriteString("The JSON file that `primroseloomd serve --settings FILE` reads. All that the fleet\n")
	page.WriteString("shares comes from the platform instead ([CONFIGURATION.md](CONFIGURATION.md)).\n")
	page.WriteString("`primroseloomd check --settings FILE` reports all problems at once, each with the\n")
	page.WriteString("field's path, the value and what is allowed. A duration is a string with a unit,\n")
	page.WriteString("such as \"250ms\". Written by `go test ./entry/settings -update`.\n\n")
	page.WriteString("| field | default | meaning |\n|---|---|---|\n")
	comments := fieldComments(t)
	writeFields(&page, "", reflect.ValueOf(Default()), comments)
	page.WriteString("\n## Where a store publishes routes and targets\n\n")
	page.WriteString("The JSON file of `primroseloomd front`.\n\n")
	page.WriteString("| field | default | meaning |\n|---|---|---|\n")
	writeFields(&page, "", reflect.ValueOf(DefaultFrontend()), comments)
	docpage.Check(t, "../../docs/SETTINGS.md", page.String())
}

func writeFields(page *strings.Builder, path string, value reflect.Value, comments map[string]string) {
	for i := range value.NumField() {
		field := value.Type().Field(i)
		name := path + jsonName(field)
		meaning := comments[value.Type().Name()+"."+field.Name]
		if value.Field(i).Kind() == reflect.Struct {
			writeFields(page, name+".", value.Field(i), comments)
			continue
		}
		fallback, _ := json.Marshal(value.Field(i).Interface())
		fmt.Fprintf(page, "| `%s` | `%s` | %s |\n", name, fallback, meaning)
	}
}

// fieldComments returns the doc comment of each field, by type and name.
func fieldComments(t *testing.T) map[string]string {
	t.Helper()
	comments := make(map[string]string)
	for _, name := range []string{"settings.go", "frontend.go"} {
		addFieldComments(t, name, comments)
	}
	return comments
}

func addFieldComments(t *testing.T, name string, comments map[string]string) {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), name, nil, parser.ParseComments)
	if err != nil {
		t.Fatal(err)
	}
	ast.Inspect(file, func(node ast.Node) bool {
		spec, ok := node.(*ast.TypeSpec)
		if !ok {
			return true
		}
		structure, ok := spec.Type.(*ast.StructType)
		if !ok {
			return true
		}
		for _, field := range structure.Fields.List {
			comment := strings.Join(strings.Fields(field.Doc.Text()), " ")
			if comment == "" {
				t.Errorf("%s.%s has no comment", spec.Name, field.Names[0])
			}
			comments[spec.Name.Name+"."+field.Names[0].Name] = comment
		}
		return true
	})
}
