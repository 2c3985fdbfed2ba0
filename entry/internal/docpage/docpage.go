// Package docpage checks that pages under docs match the code that they describe.
package docpage

import (
	"flag"
	"os"
	"testing"
)

var update = flag.Bool("update", false, "write the pages under docs from the code")

// Check fails the test when a page differs from the text rendered from the
// code. With -update it writes the page first.
func Check(t *testing.T, page, rendered string) {
	t.Helper()
	if *update {
		const mode = 0o644
		if err := os.WriteFile(page, []byte(rendered), mode); err != nil {
			t.Fatal(err)
		}
	}
	content, err := os.ReadFile(page)
	if err != nil {
		t.Fatal(err)
	}
	if string(content) != rendered {
		t.Errorf("%s differs from the code; run this package's tests with -update", page)
	}
}
