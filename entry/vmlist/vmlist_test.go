package vmlist

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	"github.com/primroseloom/primroseloom/config/document"
	"github.com/primroseloom/primroseloom/entry/contract"
)

// fakePlatform has one value, or is down.
type fakePlatform struct {
	value contract.Value
	down  bool
}

func (p *fakePlatform) Read(context.Context, string) (contract.Value, error) { return p.value, nil }

// Watch returns the value, or the version alone if it is the given one.
func (p *fakePlatform) Watch(_ context.Context, _ string, version uint64, _ time.Duration) (contract.Value, error) {
	switch {
	case p.down:
		return contract.Value{}, errors.New("the platform is down")
	case p.value.Version == version:
		return contract.Value{Version: version}, nil
	case p.value.Version < version:
		return contract.Value{}, errors.New("an older version")
	}
	return p.value, nil
}

func (p *fakePlatform) publish(t *testing.T, version uint64, leaving string) {
	content, err := json.Marshal(document.VMList{Entries: []document.VMEntry{{Name: leaving, Leaving: true}}})
	if err != nil {
		t.Fatal(err)
	}
	p.value = contract.Value{Version: version, Content: content}
}

// consumer keeps the name of the VM that leaves by the latest list.
type consumer struct{ leaving string }

func (c *consumer) ApplyVMList(list document.VMList) { c.leaving = list.Entries[0].Name }
func (c *consumer) IsReader() bool                   { return true }
func (c *consumer) AnnounceLeaving()                 {}

// TestListOfARestoredPlatformIsApplied guards against ignoring the lists of a platform
// that came back from a copy, because their versions are not higher than that of the last.
func TestListOfARestoredPlatformIsApplied(t *testing.T) {
	for _, version := range []uint64{3, 9} {
		platform, c := &fakePlatform{}, &consumer{}
		f := New(Options{Platform: platform, Role: c, Consumers: []Consumer{c}, Notifier: c, Logger: log.New(io.Discard)})
		platform.publish(t, 9, "vm-1")
		if err := f.watchOnce(t.Context()); err != nil || c.leaving != "vm-1" {
			t.Fatalf("%q is leaving, error %v", c.leaving, err)
		}
		platform.down = true
		if err := f.watchOnce(t.Context()); err == nil {
			t.Fatal("a watch of a platform that is down succeeded")
		}
		platform.publish(t, version, "vm-2")
		platform.down = false
		if err := f.watchOnce(t.Context()); err != nil || c.leaving != "vm-2" {
			t.Errorf("version %d after the restoration: %q is leaving, want vm-2; error %v", version, c.leaving, err)
		}
	}
}

// announcer counts the announcements of leaving targets.
type announcer int

func (a *announcer) AnnounceLeaving() { *a++ }

// TestOddEntriesOfTheListAreLeftOut guards against one odd entry of the list for which the
// leaving VMs of all others are not announced, and the same list is read again each second.
func TestOddEntriesOfTheListAreLeftOut(t *testing.T) {
	for _, odd := range []string{
		`7`, `null`, `{"name":7}`, `{"name":"vm-9","leaving":1e400}`, `{"name":"vm-9","address":{"port":70000}}`, `{"name":"","leaving":true}`,
		strings.Repeat("[", 5000) + strings.Repeat("]", 5000), `{"name":7,"address":"` + strings.Repeat("x", 1_000_000) + `"}`,
	} {
		var logged bytes.Buffer
		platform, c, announced := &fakePlatform{}, &consumer{}, announcer(0)
		f := New(Options{Platform: platform, Role: c, Consumers: []Consumer{c}, Notifier: &announced, Logger: log.New(&logged)})
		platform.value = contract.Value{Version: 9, Content: fmt.Appendf(nil, `{"entries":[%s,{"name":"vm-1","leaving":true}]}`, odd)}
		for range 3 {
			if err := f.watchOnce(t.Context()); err != nil {
				t.Errorf("%.50s: %.200v", odd, err)
			}
		}
		if lines := strings.Count(logged.String(), "event="); c.leaving != "vm-1" || announced != 3 || lines != 1 || logged.Len() > 1000 {
			t.Errorf("%.50s: %q is leaving, announced %d times, %d lines of %d bytes", odd, c.leaving, announced, lines, logged.Len())
		}
	}
}

// TestUnreadableListIsReadOnce guards against a list that no part can be read of and that is
// read and logged each second, while the leaving targets of the last one are not announced.
func TestUnreadableListIsReadOnce(t *testing.T) {
	for _, odd := range []string{``, `{"entries":7}`, `{"entries":` + strings.Repeat("[", 100_000) + strings.Repeat("]", 100_000) + `}`} {
		var logged bytes.Buffer
		platform, c, announced := &fakePlatform{}, &consumer{}, announcer(0)
		f := New(Options{Platform: platform, Role: c, Consumers: []Consumer{c}, Notifier: &announced, Logger: log.New(&logged)})
		platform.publish(t, 9, "vm-1")
		if err := f.watchOnce(t.Context()); err != nil {
			t.Fatal(err)
		}
		platform.value = contract.Value{Version: 10, Content: []byte(odd)}
		for range 3 {
			if err := f.watchOnce(t.Context()); err != nil {
				t.Errorf("%.50s: %.200v", odd, err)
			}
		}
		if lines := strings.Count(logged.String(), "event="); c.leaving != "vm-1" || announced != 4 || lines != 1 {
			t.Errorf("%.50s: %q is leaving, announced %d times, %d lines", odd, c.leaving, announced, lines)
		}
		platform.publish(t, 11, "vm-2")
		if err := f.watchOnce(t.Context()); err != nil || c.leaving != "vm-2" {
			t.Errorf("%.50s: %q is leaving by the next list, error %v", odd, c.leaving, err)
		}
	}
}
