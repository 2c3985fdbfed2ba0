package logsink

import (
	"bytes"
	stdlog "log"
	"os"
	"strings"
	"testing"

	"github.com/charmbracelet/log"
)

// TestLibraryMessagesAreBoundedEvents guards against kilobytes of a target's bytes in the
// log, without an event number, by which net/http reports unexpected bytes.
func TestLibraryMessagesAreBoundedEvents(t *testing.T) {
	defer stdlog.SetOutput(os.Stderr)
	defer stdlog.SetFlags(stdlog.Flags())
	var out bytes.Buffer
	CaptureStandardLog(log.NewWithOptions(&out, log.Options{Formatter: log.LogfmtFormatter}))
	stdlog.Printf("Unsolicited response received: %q", strings.Repeat("x", 4096))
	line := out.String()
	if !strings.Contains(line, "event=1005") || strings.Count(line, "\n") != 1 || len(line) > 2*maxLibraryMessageBytes {
		t.Errorf("logged %d bytes: %.300s", len(line), line)
	}
}
