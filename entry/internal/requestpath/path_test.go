package requestpath

import (
	"net/url"
	"strings"
	"testing"
)

// TestEscapedSlashSeparatesNoSegments guards against a request that runs by the route of a longer
// prefix than its path begins with, since a slash within a segment was decoded.
func TestEscapedSlashSeparatesNoSegments(t *testing.T) {
	for sent, want := range map[string]string{
		"/visits/offers/17":        "/visits/offers/17",
		"/visits/offers%2F17":      "/visits/offers%2F17",
		"/visits/offers%2f17":      "/visits/offers%2F17",
		"/visits%2Foffers/17":      "/visits%2Foffers/17",
		"/visits/offers%252F17":    "/visits/offers%2F17",
		"/vi%73its/offers%2F%20/x": "/visits/offers%2F /x",
		"/vi%73its/b%C3%BCro/":     "/visits/büro/",
		"/visits/a|b%2Fc":          "/visits/a|b%2Fc",
		"/":                        "/",
	} {
		parsed, err := url.ParseRequestURI(sent)
		if err != nil {
			t.Fatal(err)
		}
		if got := ForRoutes(parsed); got != want {
			t.Errorf("%s: %q, want %q", sent, got, want)
		}
	}
}

// FuzzForRoutes guards against a path with more segments than were sent.
func FuzzForRoutes(f *testing.F) {
	for _, sent := range []string{"/a/b", "/a%2Fb", "/%2f%252F%25/", "/a%2", "/%C3%BC|%2F"} {
		f.Add(sent)
	}
	f.Fuzz(func(t *testing.T, sent string) {
		parsed, err := url.ParseRequestURI(sent)
		if err != nil || parsed.Host != "" || parsed.Scheme != "" {
			return
		}
		path, _, _ := strings.Cut(sent, "?")
		if got := ForRoutes(parsed); strings.Count(got, "/") != strings.Count(path, "/") {
			t.Errorf("%q: %q", sent, got)
		}
	})
}
