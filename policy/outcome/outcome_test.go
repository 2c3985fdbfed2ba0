package outcome

import (
	"errors"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"
)

// definedReasons returns the values of the Reason constants.
func definedReasons(t *testing.T) map[string]bool {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), "outcome.go", nil, parser.SkipObjectResolution)
	if err != nil {
		t.Fatal(err)
	}
	found := make(map[string]bool)
	ast.Inspect(file, func(node ast.Node) bool {
		spec, ok := node.(*ast.ValueSpec)
		if !ok || len(spec.Values) != 1 {
			return true
		}
		if kind, ok := spec.Type.(*ast.Ident); ok && kind.Name == "Reason" {
			value, err := strconv.Unquote(spec.Values[0].(*ast.BasicLit).Value)
			if err != nil {
				t.Fatal(err)
			}
			found[value] = true
		}
		return true
	})
	return found
}

func TestOperationsPageListsEachReason(t *testing.T) {
	content, err := os.ReadFile("../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	_, section, _ := strings.Cut(string(content), "## Refusal reasons")
	rows := make(map[string]bool)
	for _, match := range regexp.MustCompile("(?m)^\\| `([a-z_]+)` \\|").FindAllStringSubmatch(section, -1) {
		rows[match[1]] = true
	}
	defined := definedReasons(t)
	for reason := range defined {
		if !rows[reason] {
			t.Errorf("reason %s is not listed", reason)
		}
	}
	for reason := range rows {
		if !defined[reason] {
			t.Errorf("%s is listed but is no defined reason", reason)
		}
	}
}

func TestRefusalCarriesStepPeerAndCause(t *testing.T) {
	cause := errors.New("connection reset")
	refusal := &Refusal{Outcome: MayHaveRun, Reason: ReasonTargetReset, Step: StepRead, Peer: "booking-07", RetryAfter: time.Second, Cause: cause}
	for _, part := range []string{"read", "target_reset", "may_have_run", "booking-07", "connection reset"} {
		if !strings.Contains(refusal.Error(), part) {
			t.Errorf("%q lacks %q", refusal.Error(), part)
		}
	}
	if !errors.Is(refusal, cause) {
		t.Error("the cause is lost")
	}
}
