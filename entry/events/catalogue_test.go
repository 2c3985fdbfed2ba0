package events

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strings"
	"testing"

	"github.com/primroseloom/primroseloom/entry/internal/docpage"
)

const page = "../../docs/EVENTS.md"

// render returns the page that lists the catalogue.
func render() string {
	var text strings.Builder
	text.WriteString("# Log events\n\n")
	text.WriteString("Each log line of the daemon carries an `event` number. A number never changes its\n")
	text.WriteString("meaning. The page is written by `go test ./entry/events -update`; tests check that\n")
	text.WriteString("it matches the catalogue in `entry/events` and that the code emits each event.\n\n")
	text.WriteString("| event | level | message | meaning |\n|---|---|---|---|\n")
	for _, event := range All() {
		fmt.Fprintf(&text, "| %d | %s | %s | %s |\n", event.ID, event.Level, event.Message, event.Meaning)
	}
	return text.String()
}

func TestPageListsTheCatalogue(t *testing.T) {
	docpage.Check(t, page, render())
}

func TestNumbersAreUniqueAndGrouped(t *testing.T) {
	seen := make(map[int]string)
	for _, event := range All() {
		if other, exists := seen[event.ID]; exists {
			t.Errorf("event %d is both %q and %q", event.ID, other, event.Message)
		}
		seen[event.ID] = event.Message
		if event.ID < 1000 || event.ID > 6999 {
			t.Errorf("event %d is outside the groups", event.ID)
		}
		if event.Meaning == "" {
			t.Errorf("event %d has no meaning", event.ID)
		}
	}
}

func TestEveryEventIsEmitted(t *testing.T) {
	defined := definedNames(t)
	used := usedNames(t)
	for name := range defined {
		if !used[name] {
			t.Errorf("events.%s is never emitted", name)
		}
	}
}

// definedNames returns the variables that hold events.
func definedNames(t *testing.T) map[string]bool {
	t.Helper()
	names := make(map[string]bool)
	for _, file := range parse(t, ".") {
		ast.Inspect(file, func(node ast.Node) bool {
			spec, ok := node.(*ast.ValueSpec)
			if !ok || len(spec.Values) != 1 || len(spec.Names) != 1 {
				return true
			}
			call, ok := spec.Values[0].(*ast.CallExpr)
			if !ok {
				return true
			}
			if function, ok := call.Fun.(*ast.Ident); ok && function.Name == "define" {
				names[spec.Names[0].Name] = true
			}
			return true
		})
	}
	if len(names) != len(All()) {
		t.Fatalf("found %d variables for %d events", len(names), len(All()))
	}
	return names
}

// usedNames returns the names of package events that the daemon's code uses.
func usedNames(t *testing.T) map[string]bool {
	t.Helper()
	names := make(map[string]bool)
	for _, file := range parse(t, "..") {
		ast.Inspect(file, func(node ast.Node) bool {
			selector, ok := node.(*ast.SelectorExpr)
			if !ok {
				return true
			}
			if pkg, ok := selector.X.(*ast.Ident); ok && pkg.Name == "events" {
				names[selector.Sel.Name] = true
			}
			return true
		})
	}
	return names
}

// parse reads the Go files below a directory, tests excluded.
func parse(t *testing.T, root string) []*ast.File {
	t.Helper()
	var files []*ast.File
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		files = append(files, file)
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return files
}
