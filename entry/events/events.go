// Package events is the catalogue of the daemon's log events.
//
// Each event has a number that never changes its meaning. The numbers are
// grouped by the component that emits them: 1000 daemon and supervisor, 2000
// platform and configuration, 3000 peers and membership, 4000 targets and
// health, 5000 proxy and dispatch, 6000 directory and admin. The events of a
// group are in one or more files of this package. docs/EVENTS.md lists the same
// events; tests check that the page matches the catalogue and that the code emits
// each event.
package events

import (
	"cmp"
	"slices"

	"github.com/charmbracelet/log"
)

// Event is one kind of log line.
type Event struct {
	ID      int
	Level   log.Level
	Message string
	// Meaning tells an operator what happened and what to do.
	Meaning string
}

var catalogue []Event

// define adds an event to the catalogue.
func define(id int, level log.Level, message, meaning string) Event {
	event := Event{ID: id, Level: level, Message: message, Meaning: meaning}
	catalogue = append(catalogue, event)
	return event
}

// Log writes the event with its number and the given key-value pairs.
func (e Event) Log(logger *log.Logger, keyvals ...any) {
	logger.Log(e.Level, e.Message, append([]any{"event", e.ID}, keyvals...)...)
}

// All returns the catalogue in order of number.
func All() []Event {
	return slices.SortedFunc(slices.Values(catalogue), func(a, b Event) int { return cmp.Compare(a.ID, b.ID) })
}
