package follow

import (
	"sync"
	"time"

	"github.com/primroseloom/primroseloom/entry/events"
	"github.com/primroseloom/primroseloom/policy/freshness"
)

// keyUseTime is how long after its last request with a key a VM has its routes confirmed.
const keyUseTime = 10 * time.Second

// promptInterval is the least time between two watches that are made to end soon; a store
// whose responses are ignored would otherwise get more calls.
const promptInterval = 2 * time.Second

// keys is what this instance knows of the age of its routes, on which it serves requests with
// customers' keys.
type keys struct {
	mu sync.Mutex
	// state is nil while no bound is set.
	state *freshness.State
	// usedAt is when the last request with a key arrived; used is false before the first.
	usedAt time.Duration
	used   bool
	peers  askedPeers
	// askedAt is when the latest round of calls began.
	askedAt time.Duration
	// promptedAt is when a watch was last made to end soon.
	promptedAt time.Duration
	// wasNotCurrent is whether NotCurrent was last true, for the log.
	wasNotCurrent bool
	// asksFail is true while the latest round of calls failed.
	asksFail bool
	wake     chan struct{}
}

func newKeys(bound, now time.Duration) *keys {
	k := &keys{peers: newAskedPeers(), wake: make(chan struct{}, 1)}
	if bound > 0 {
		k.state = freshness.New(bound, now)
	}
	return k
}

// update changes the state, if a bound is set.
func (k *keys) update(change func(state *freshness.State)) {
	if k.state == nil {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	change(k.state)
}

// isUsed reports whether a request with a key arrived lately; the lock is held.
func (k *keys) isUsed(now time.Duration) bool { return k.used && now-k.usedAt < keyUseTime }

// KeysCurrent reports whether this instance can show that its routes are current enough to
// serve requests with keys by them. Routes that Table returns later are no older.
func (f *Follower) KeysCurrent() bool {
	if f.keys.state == nil {
		return true
	}
	f.keys.mu.Lock()
	defer f.keys.mu.Unlock()
	return f.keys.state.Current(f.options.Uptime())
}

// KeyUsed records that a request with a key arrived, so that the routes are confirmed from
// now on.
func (f *Follower) KeyUsed() {
	if f.keys.state == nil {
		return
	}
	now := f.options.Uptime()
	f.keys.mu.Lock()
	isFirst := !f.keys.isUsed(now)
	f.keys.usedAt, f.keys.used = now, true
	f.keys.mu.Unlock()
	if !isFirst {
		return
	}
	select {
	case f.keys.wake <- struct{}{}:
	default:
	}
}

// KeysNotCurrent reports whether other instances are to send this one no requests with keys.
// It is false of an instance that merely has not had its routes confirmed for lack of such
// requests.
func (f *Follower) KeysNotCurrent() bool {
	if !f.authenticates() {
		return false
	}
	now, readsStore := f.options.Uptime(), !f.hasFeeder()
	f.keys.mu.Lock()
	defer f.keys.mu.Unlock()
	state := f.keys.state
	return !state.Current(now) && (!state.Compared() || readsStore || f.keys.isUsed(now))
}

// authenticates reports whether a bound is set and callers need keys.
func (f *Follower) authenticates() bool {
	table := f.table.Load()
	return f.keys.state != nil && table != nil && table.HasCustomers()
}

// needsStore reports whether this instance calls the store although others feed it, since
// they cannot confirm its routes.
func (f *Follower) needsStore() bool {
	if !f.authenticates() {
		return false
	}
	now := f.options.Uptime()
	f.keys.mu.Lock()
	defer f.keys.mu.Unlock()
	return f.keys.isUsed(now) && f.keys.state.NeedsStore(now)
}

// takePromptWatch reports whether the next watch is to end soon, and records that it does.
func (f *Follower) takePromptWatch() bool {
	if !f.authenticates() {
		return false
	}
	now := f.options.Uptime()
	f.keys.mu.Lock()
	defer f.keys.mu.Unlock()
	if now-f.keys.promptedAt < promptInterval || !f.keys.state.NeedsPromptAnswer(now) {
		return false
	}
	f.keys.promptedAt = now
	return true
}

// confirmedByStore records that the store had nothing newer than the routes in force when it
// received a call that was sent at an uptime.
func (f *Follower) confirmedByStore(sent time.Duration) {
	f.keys.update(func(state *freshness.State) { state.ConfirmedByStore(sent) })
}

// reportKeys updates the metrics and logs when this instance ceases or begins to be current.
func (f *Follower) reportKeys() {
	if !f.authenticates() {
		return
	}
	now, isNotCurrent := f.options.Uptime(), f.KeysNotCurrent()
	f.keys.mu.Lock()
	age, confirmed := f.keys.state.Age(now)
	version, newest := f.keys.state.Version()
	changed := f.keys.wasNotCurrent != isNotCurrent
	f.keys.wasNotCurrent = isNotCurrent
	f.keys.mu.Unlock()
	if confirmed {
		f.options.Scope.Gauge("routes_confirmation_age_seconds").Update(age.Seconds())
	}
	value := 0.0
	if isNotCurrent {
		value = 1
	}
	f.options.Scope.Gauge("keys_not_current").Update(value)
	switch {
	case changed && isNotCurrent:
		events.KeysNotCurrent.Log(f.options.Logger, "version", version, "newest_version", newest, "confirmed", confirmed, "age_ms", age.Milliseconds())
	case changed:
		events.KeysCurrent.Log(f.options.Logger, "version", version, "age_ms", age.Milliseconds())
	}
}
