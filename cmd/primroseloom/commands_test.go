package main

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/spf13/cobra"

	"github.com/primroseloom/primroseloom/config/document"
	"github.com/primroseloom/primroseloom/config/examples"
	"github.com/primroseloom/primroseloom/operator/exit"
)

// run runs the command and returns its output and exit code.
func run(t *testing.T, args ...string) (string, int) {
	t.Helper()
	var out bytes.Buffer
	root := newRoot()
	root.SetOut(&out)
	root.SetErr(&out)
	root.SetArgs(args)
	err := root.Execute()
	if err != nil {
		out.WriteString(err.Error())
	}
	return out.String(), exit.Code(err)
}

func writeTempFile(t *testing.T, content []byte) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "file.json")
	if err := os.WriteFile(file, content, 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

// deploymentFile writes the example deployment, modified by change, to a file.
func deploymentFile(t *testing.T, change func(*document.Deployment)) string {
	t.Helper()
	example := examples.SoojaVee()
	change(&example)
	content, err := json.Marshal(example)
	if err != nil {
		t.Fatal(err)
	}
	return writeTempFile(t, content)
}

func TestEveryCommandHasAnExample(t *testing.T) {
	var walk func(command *cobra.Command)
	walk = func(command *cobra.Command) {
		if command.Name() != "help" && command.HasParent() && command.Example == "" {
			t.Errorf("%s has no example", command.CommandPath())
		}
		for _, child := range command.Commands() {
			walk(child)
		}
	}
	walk(newRoot())
}

func TestExitCodes(t *testing.T) {
	good := deploymentFile(t, func(*document.Deployment) {})
	bad := deploymentFile(t, func(d *document.Deployment) { d.Services[0].FloorSlots = 1000 })
	tests := []struct {
		name string
		args []string
		code int
		want string
	}{
		{"good deployment", []string{"check", good}, exit.CodeSuccess, "ok"},
		{"floor over capacity", []string{"check", bad}, exit.CodeFailure, "floor_slots"},
		{"no file", []string{"check"}, exit.CodeUsageError, "arg"},
		{"missing file", []string{"check", "nothing.json"}, exit.CodeUsageError, "nothing.json"},
		{"unknown flag", []string{"check", "--loud", good}, exit.CodeUsageError, "loud"},
		{"unknown command", []string{"dance"}, exit.CodeUsageError, "dance"},
		{"render of a bad deployment", []string{"render", "--generation", "1", "--out", t.TempDir(), bad}, exit.CodeFailure, "floor_slots"},
		{"load without a rate", []string{"load", "--entrance", "127.0.0.1:1", "--service", "s", "--host", "h", "--customer", "c", "--credential", "x", "--rate", "0"}, exit.CodeUsageError, "rate"},
		{"demo too short", []string{"demo", "--duration", "1s"}, exit.CodeUsageError, "8s"},
		{"version", []string{"version", "--json"}, exit.CodeSuccess, `"go"`},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			out, code := run(t, test.args...)
			if code != test.code || !strings.Contains(out, test.want) {
				t.Errorf("code %d, output %q; want code %d with %q", code, out, test.code, test.want)
			}
		})
	}
}

func TestCheckPrintsProblemsAsJSON(t *testing.T) {
	bad := deploymentFile(t, func(d *document.Deployment) { d.Routes[0].Host = "127.0.0.1" })
	out, _ := run(t, "check", "--json", bad)
	var result fileResult
	line, _, _ := strings.Cut(out, "\n")
	if err := json.Unmarshal([]byte(line), &result); err != nil {
		t.Fatalf("output %q: %v", out, err)
	}
	if result.OK || len(result.Problems) == 0 || !strings.HasPrefix(result.Problems[0].Path, "routes[0]") {
		t.Errorf("result %+v", result)
	}
}

func TestCheckValidatesSettings(t *testing.T) {
	out, code := run(t, "check", "--settings", writeTempFile(t, []byte(`{"vm": "V"}`)))
	if code != exit.CodeFailure || !strings.Contains(out, "vm:") {
		t.Errorf("code %d, output %q", code, out)
	}
}

func TestRenderWritesEachValueAtThePathOfItsKey(t *testing.T) {
	directory := t.TempDir()
	good := deploymentFile(t, func(*document.Deployment) {})
	if out, code := run(t, "render", "--generation", "7", "--out", directory, good); code != exit.CodeSuccess {
		t.Fatalf("code %d, output %q", code, out)
	}
	content, err := os.ReadFile(filepath.Join(directory, filepath.FromSlash(document.RootKey)))
	if err != nil {
		t.Fatal(err)
	}
	var root document.Root
	if err := json.Unmarshal(content, &root); err != nil || root.Generation != 7 {
		t.Fatalf("root %s: %v", content, err)
	}
	for _, ref := range root.Shards {
		if _, err := os.Stat(filepath.Join(directory, filepath.FromSlash(document.ShardKeyPrefix+ref.Digest))); err != nil {
			t.Errorf("shard %s: %v", ref.Digest, err)
		}
	}
}
