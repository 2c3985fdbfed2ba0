package logsink

import (
	"bytes"
	stdlog "log"

	"github.com/charmbracelet/log"

	"github.com/primroseloom/primroseloom/entry/events"
)

// maxLibraryMessageBytes bounds what is logged of a library's message, which may quote
// bytes from the network.
const maxLibraryMessageBytes = 200

// libraryWriter logs each message that is written to it as an event.
type libraryWriter struct{ logger *log.Logger }

// Write logs one message.
func (w libraryWriter) Write(message []byte) (int, error) {
	shown := bytes.TrimSpace(message)
	shown = shown[:min(len(shown), maxLibraryMessageBytes)]
	events.LibraryMessage.Log(w.logger, "text", string(shown), "bytes", len(message))
	return len(message), nil
}

// CaptureStandardLog logs what libraries write to the standard logger of the process as
// events, shortened. Package net/http reports there, for example, what targets send after
// a complete response.
func CaptureStandardLog(logger *log.Logger) {
	stdlog.SetFlags(0)
	stdlog.SetOutput(libraryWriter{logger})
}
