package main

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

const repositoryRoot = "../.."

// readFiles returns the content, by path, of the files below a directory whose
// names end in a suffix.
func readFiles(t *testing.T, directory, suffix string) map[string]string {
	t.Helper()
	files := make(map[string]string)
	err := filepath.WalkDir(directory, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, suffix) {
			return err
		}
		content, err := os.ReadFile(path)
		files[path] = string(content)
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return files
}

func TestPagesNameOnlyTestsThatExist(t *testing.T) {
	defined := make(map[string]bool)
	for _, content := range readFiles(t, repositoryRoot, "_test.go") {
		for _, match := range regexp.MustCompile(`(?m)^func (Test\w+)\(`).FindAllStringSubmatch(content, -1) {
			defined[match[1]] = true
		}
	}
	named := 0
	for page, content := range readFiles(t, filepath.Join(repositoryRoot, "docs"), ".md") {
		for _, match := range regexp.MustCompile("`(Test[A-Z]\\w+)`").FindAllStringSubmatch(content, -1) {
			named++
			if !defined[match[1]] {
				t.Errorf("%s names %s, which does not exist", page, match[1])
			}
		}
	}
	if named == 0 {
		t.Error("no page names a test")
	}
}

func TestPageLinksPointToExistingFiles(t *testing.T) {
	pages := readFiles(t, filepath.Join(repositoryRoot, "docs"), ".md")
	readme, err := os.ReadFile(filepath.Join(repositoryRoot, "README.md"))
	if err != nil {
		t.Fatal(err)
	}
	pages[filepath.Join(repositoryRoot, "README.md")] = string(readme)
	for page, content := range pages {
		for _, match := range regexp.MustCompile(`\]\(([^)#:]+)\)`).FindAllStringSubmatch(content, -1) {
			if _, err := os.Stat(filepath.Join(filepath.Dir(page), match[1])); err != nil {
				t.Errorf("%s links to %s: %v", page, match[1], err)
			}
		}
	}
}

func TestPromisesTableIsComplete(t *testing.T) {
	content, err := os.ReadFile(filepath.Join(repositoryRoot, "docs", "PROMISES.md"))
	if err != nil {
		t.Fatal(err)
	}
	failures := []string{"gray targets", "flapping", "one-way partition", "configuration service down or stale",
		"pause and late waking", "partition of the fleet", "poison requests", "silent connections"}
	rows := make(map[string]int)
	for line := range strings.Lines(string(content)) {
		cells := strings.Split(strings.Trim(strings.TrimSpace(line), "|"), "|")
		if len(cells) != 4 {
			continue
		}
		for _, cell := range cells {
			if strings.TrimSpace(cell) == "" {
				t.Errorf("empty cell in %q", line)
			}
		}
		rows[strings.TrimSpace(cells[0])]++
	}
	const promises = 7
	for _, failure := range failures {
		if rows[failure] != promises {
			t.Errorf("%d rows for %s, want %d", rows[failure], failure, promises)
		}
	}
}

// TestCallerLimitsTableIsComplete guards against a limit on callers that is missing at one of the endpoints.
func TestCallerLimitsTableIsComplete(t *testing.T) {
	content, err := os.ReadFile(filepath.Join(repositoryRoot, "docs", "CALLER-LIMITS.md"))
	if err != nil {
		t.Fatal(err)
	}
	const endpoints = 5
	rows := make(map[string]bool)
	for line := range strings.Lines(string(content)) {
		cells := strings.Split(strings.Trim(strings.TrimSpace(line), "|"), "|")
		if len(cells) != 1+endpoints {
			continue
		}
		for _, cell := range cells {
			if strings.TrimSpace(cell) == "" {
				t.Errorf("empty cell in %q", line)
			}
		}
		rows[strings.TrimSpace(cells[0])] = true
	}
	for _, limit := range []string{
		"open connections", "when they are used up", "head as it arrives", "head as it is kept", "bodies kept, in all", "requests in progress",
		"connection of HTTP/2", "read ahead of a request in progress", "received and not read", "responses not read", "time to a whole head",
		"time to a body's end", "idle", "after a refusal", "log lines",
	} {
		if !rows[limit] {
			t.Errorf("no row for %q", limit)
		}
	}
}
