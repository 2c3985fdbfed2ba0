// Package vmlist follows the platform's list of live and leaving VMs.
//
// The list lags, so it is a hint beside what targets and members say of
// themselves. The configuration's readers alone watch it, so that the number of
// calls does not grow with the fleet; they tell the other VMs of a leaving
// target by news, and again as long as the list says so.
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
	// watchWait bounds one watch; leaving targets are told again after it.
	watchWait = 5 * time.Second
	// roleInterval is how often an instance that is no reader looks at its role.
	roleInterval = time.Second
	// absentInterval is the wait while the platform has no list yet.
	absentInterval = 2 * time.Second
	// retryInterval is the wait after a failed read.
	retryInterval = time.Second
)

// Role tells whether this instance reads the platform for others.
type Role interface {
	Reader() bool
}

// Taker takes over a list.
type Taker interface {
	ApplyVMList(list document.VMList)
}

// Teller tells the other VMs of the targets that the last list calls leaving.
type Teller interface {
	TellListed()
}

// Options are what a follower works with.
type Options struct {
	Platform contract.Platform
	Role     Role
	Takers   []Taker
	Teller   Teller
	Logger   *log.Logger
}

// Follower watches the list while this instance is a reader.
type Follower struct {
	options Options
	version uint64
}

// New returns a follower that has read nothing yet.
func New(options Options) *Follower { return &Follower{options: options} }

// Run follows the list until the context ends.
func (f *Follower) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if !f.options.Role.Reader() {
			pause(ctx, roleInterval)
			continue
		}
		if err := f.follow(ctx); err != nil && ctx.Err() == nil {
			events.VMListReadFailed.Log(f.options.Logger, "error", err)
			pause(ctx, retryInterval)
		}
	}
	return ctx.Err()
}

// follow waits for one change of the list, or for the end of the wait.
func (f *Follower) follow(ctx context.Context) error {
	value, err := f.options.Platform.Watch(ctx, document.VMListKey, f.version, watchWait)
	if errors.Is(err, platform.ErrNotFound) {
		pause(ctx, absentInterval)
		return nil
	}
	if err != nil {
		return fmt.Errorf("watch VM list: %w", err)
	}
	if value.Version < f.version {
		return fmt.Errorf("watch VM list: version %d is older than %d", value.Version, f.version)
	}
	if value.Version > f.version {
		if err := f.apply(value.Content); err != nil {
			return err
		}
		f.version = value.Version
	}
	f.options.Teller.TellListed()
	return nil
}

func (f *Follower) apply(content []byte) error {
	var list document.VMList
	if err := json.Unmarshal(content, &list); err != nil {
		return fmt.Errorf("parse VM list: %w", err)
	}
	for _, taker := range f.options.Takers {
		taker.ApplyVMList(list)
	}
	return nil
}

func pause(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
