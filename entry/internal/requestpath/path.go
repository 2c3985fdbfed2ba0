// Package requestpath returns the path by which a request's route is found.
package requestpath

import (
	"net/url"
	"strings"
)

// keepSlashes escapes the escape of a slash, so that decoding leaves it as it was sent.
var keepSlashes = strings.NewReplacer("%2F", "%252F", "%2f", "%252F")

// ForRoutes returns the path of a request as it was sent, except that escapes other than those of a
// slash are decoded: a target takes an escaped slash for a part of a segment, so that a prefix of
// whole segments must not end there.
func ForRoutes(sent *url.URL) string {
	if sent.RawPath == "" {
		return sent.Path
	}
	path, err := url.PathUnescape(keepSlashes.Replace(sent.RawPath))
	if err != nil {
		return sent.RawPath
	}
	return path
}
