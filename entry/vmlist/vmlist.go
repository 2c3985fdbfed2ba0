// Package vmlist follows the platform's list of live and leaving VMs.
//
// The list lags, so it is only a hint beside what targets and members report
// about themselves. Only the readers of the configuration watch it, so that the
// number of platform calls does not grow with the fleet. They announce a leaving
// target to the other VMs by news, and repeat this while the list marks it as
// leaving.
package vmlist

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/charmbracelet/log"

	"github.com/primroseloom/primroseloom/config/document"
	"github.com/primroseloom/primroseloom/entry/contract"
	"github.com/primroseloom/primroseloom/entry/events"
	"github.com/primroseloom/primroseloom/entry/platform"
)

const (
	// watchWait bounds one watch; leaving targets are announced again after it.
	watchWait = 5 * time.Second
	// roleInterval is how often an instance that is not a reader checks its role.
	roleInterval = time.Second
	// absentInterval is the wait while the platform has no list yet.
	absentInterval = 2 * time.Second
	// retryInterval is the wait after a failed read.
	retryInterval = time.Second
)

// Role reports whether this instance reads the platform for others.
type Role interface {
	IsReader() bool
}

// Consumer applies each new list.
type Consumer interface {
	ApplyVMList(list document.VMList)
}

// Notifier announces to the other VMs the targets that the last list marks as
// leaving.
type Notifier interface {
	AnnounceLeaving()
}

// Options are the dependencies of a Follower.
type Options struct {
	Platform  contract.Platform
	Role      Role
	Consumers []Consumer
	Notifier  Notifier
	Logger    *log.Logger
}

// Follower watches the list while this instance is a reader.
type Follower struct {
	options Options
	// version is the version of the list that was applied last; zero when the next one is
	// to be applied whatever its version.
	version uint64
}

// New returns a follower that has read nothing yet.
func New(options Options) *Follower { return &Follower{options: options} }

// Run follows the list until the context is done.
func (f *Follower) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if !f.options.Role.IsReader() {
			pause(ctx, roleInterval)
			continue
		}
		if err := f.watchOnce(ctx); err != nil && ctx.Err() == nil {
			events.VMListReadFailed.Log(f.options.Logger, "error", err)
			pause(ctx, retryInterval)
		}
	}
	return ctx.Err()
}

// watchOnce waits for one change of the list, at most for watchWait, and applies
// it. It announces the leaving targets in either case.
func (f *Follower) watchOnce(ctx context.Context) error {
	value, err := f.options.Platform.Watch(ctx, document.VMListKey, f.version, watchWait)
	if errors.Is(err, platform.ErrNotFound) {
		pause(ctx, absentInterval)
		return nil
	}
	if err != nil {
		f.version = 0 // the platform may come back from a copy and assign versions again
		return fmt.Errorf("watch VM list: %w", err)
	}
	if value.Version != f.version {
		if err := f.apply(value.Content); err != nil { // reading the same version again would fail, too
			events.VMListReadFailed.Log(f.options.Logger, "version", value.Version, "error", err)
		}
		f.version = value.Version
	}
	f.options.Notifier.AnnounceLeaving()
	return nil
}

// apply passes a list on, without the entries that cannot be read.
func (f *Follower) apply(content []byte) error {
	var published struct {
		Entries []json.RawMessage `json:"entries"`
	}
	if err := json.Unmarshal(content, &published); err != nil {
		return fmt.Errorf("parse VM list: %w", err)
	}
	var list document.VMList
	leftOut := 0
	var cause error
	for _, value := range published.Entries {
		entry, err := parseEntry(value)
		if err != nil {
			leftOut++
			cause = err
			continue
		}
		list.Entries = append(list.Entries, entry)
	}
	if leftOut > 0 {
		events.VMListEntriesLeftOut.Log(f.options.Logger, "entries", leftOut, "of", len(published.Entries), "cause", cause)
	}
	for _, consumer := range f.options.Consumers {
		consumer.ApplyVMList(list)
	}
	return nil
}

// parseEntry decodes an entry. Its errors quote nothing of the content but the name of a field.
func parseEntry(content []byte) (document.VMEntry, error) {
	var entry document.VMEntry
	var mismatch *json.UnmarshalTypeError
	switch err := json.Unmarshal(content, &entry); {
	case errors.As(err, &mismatch):
		return entry, fmt.Errorf("field %q has another type", mismatch.Field)
	case err != nil:
		return entry, errors.New("the entry cannot be decoded")
	case entry.Name == "":
		return entry, errors.New("the name is missing")
	}
	return entry, nil
}

func pause(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
