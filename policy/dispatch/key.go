package dispatch

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"
	"time"
)

// WindowLength is the length of a dispatch window in uptime.
const WindowLength = 60 * time.Second

// AcceptedWindows is the number of windows during which a key is accepted, its
// own included.
const AcceptedWindows = 2

// MaxKeyBytes bounds the text of a key.
const MaxKeyBytes = 256

// Key is a parsed idempotency key: "<vm>.<instance hex>.<window>.<caller part>".
type Key struct {
	// VM is the name of the dispatcher's VM.
	VM string
	// Instance is the identifier of the dispatcher's process.
	Instance uint64
	// Window is the number of the dispatch window.
	Window uint64
	// CallerPart is the part that the caller chose.
	CallerPart string
}

var vmName = regexp.MustCompile(`^[a-z0-9-]+$`)

// ParseKey reads an idempotency key.
func ParseKey(text string) (Key, error) {
	if len(text) > MaxKeyBytes {
		return Key{}, fmt.Errorf("parse key: %d bytes, at most %d are allowed", len(text), MaxKeyBytes)
	}
	parts := strings.SplitN(text, ".", 4)
	if len(parts) != 4 {
		return Key{}, fmt.Errorf("parse key %q: want <vm>.<instance>.<window>.<own part>", text)
	}
	if !vmName.MatchString(parts[0]) {
		return Key{}, fmt.Errorf("parse key %q: %q is not a VM name", text, parts[0])
	}
	instance, err := strconv.ParseUint(parts[1], 16, 64)
	if err != nil {
		return Key{}, fmt.Errorf("parse key %q: instance: %w", text, err)
	}
	window, err := strconv.ParseUint(parts[2], 10, 64)
	if err != nil {
		return Key{}, fmt.Errorf("parse key %q: window: %w", text, err)
	}
	if parts[3] == "" {
		return Key{}, fmt.Errorf("parse key %q: the own part is empty", text)
	}
	return Key{VM: parts[0], Instance: instance, Window: window, CallerPart: parts[3]}, nil
}

// String returns the key's text in canonical form.
func (k Key) String() string { return Prefix(k.VM, k.Instance, k.Window) + k.CallerPart }

// Prefix returns the text that precedes the caller part of a key.
func Prefix(vm string, instance, window uint64) string {
	return fmt.Sprintf("%s.%x.%d.", vm, instance, window)
}

// WindowAt returns the number of the window that is current at an uptime.
func WindowAt(uptime time.Duration) uint64 {
	if uptime < 0 {
		return 0
	}
	return uint64(uptime / WindowLength)
}

// WindowState says whether a window's keys are accepted.
type WindowState int

// The states of a window.
const (
	// WindowOpen means that the window's keys are accepted.
	WindowOpen WindowState = iota
	// WindowClosed means that the keys are no longer accepted and that their
	// records were dropped.
	WindowClosed
	// WindowUnknown means that the window has not begun.
	WindowUnknown
)

// WindowStateAt returns the state of a window at an uptime. The next window
// counts as open, because another VM that computes a key's prefix may estimate
// this instance's uptime slightly too high.
func WindowStateAt(window uint64, uptime time.Duration) WindowState {
	current := WindowAt(uptime)
	if window > current+1 {
		return WindowUnknown
	}
	if window+AcceptedWindows <= current {
		return WindowClosed
	}
	return WindowOpen
}

// WindowCloses returns the uptime from which a window's keys are refused.
func WindowCloses(window uint64) time.Duration {
	const last = uint64(1<<63-1)/uint64(WindowLength) - AcceptedWindows
	return time.Duration(min(window, last)+AcceptedWindows) * WindowLength
}
