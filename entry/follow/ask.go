package follow

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/primroseloom/primroseloom/policy/freshness"
)

// Intervals and limits of asking peers for confirmations.
const (
	// askInterval is the time between two rounds of calls.
	askInterval = 700 * time.Millisecond
	// shortAskInterval is the same after a round in which no peer confirmed the routes, and while
	// the versions are compared after a start or after the store was restored.
	shortAskInterval = 100 * time.Millisecond
	// nextPeerDelay is how long a call may take before the next peer is called, too. An answer
	// takes a few milliseconds within a region; less than a second may be left when the peers
	// that were asked before are cut off.
	nextPeerDelay = 60 * time.Millisecond
	// askTimeout is the timeout of one call.
	askTimeout = 400 * time.Millisecond
	// maxAskedPeers is the number of peers called in one round, maxAnswers the number of answers
	// after which it ends.
	maxAskedPeers, maxAnswers = 8, 3
	// failedTime is how long a peer that did not answer is asked last; about the time in which
	// the membership notices that it has ended.
	failedTime = 2 * time.Second
	// olderBuildTime is the same of a peer whose build has no such call.
	olderBuildTime = time.Minute
)

// askedPeers is what is known of the peers that may be asked, by VM.
type askedPeers struct {
	// readStoreAt is when a VM last announced that it reads the store.
	readStoreAt map[string]time.Duration
	// avoidUntil is until when a VM is asked last.
	avoidUntil map[string]time.Duration
}

func newAskedPeers() askedPeers {
	return askedPeers{readStoreAt: make(map[string]time.Duration), avoidUntil: make(map[string]time.Duration)}
}

// prune forgets what no longer matters.
func (p *askedPeers) prune(now time.Duration) {
	for vm, at := range p.readStoreAt {
		if now-at > maxReadAge {
			delete(p.readStoreAt, vm)
		}
	}
	for vm, until := range p.avoidUntil {
		if now >= until {
			delete(p.avoidUntil, vm)
		}
	}
}

// rank orders peers: those that read the store come first, those that lately failed last.
func (p *askedPeers) rank(vm string) int {
	if _, failed := p.avoidUntil[vm]; failed {
		return 2
	}
	if _, reads := p.readStoreAt[vm]; reads {
		return 0
	}
	return 1
}

// heardOf records what another instance announces of its routes.
func (f *Follower) heardOf(vm string, version uint64, readsStore bool) {
	now := f.options.Uptime()
	f.keys.update(func(state *freshness.State) {
		state.HeardOf(version)
		if readsStore {
			f.keys.peers.readStoreAt[vm] = now
		}
	})
}

// confirm has peers confirm the routes until the context ends.
func (f *Follower) confirm(ctx context.Context) {
	if f.keys.state == nil || f.options.Peers == nil {
		return
	}
	interval := shortAskInterval
	for {
		timer := time.NewTimer(interval)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-f.keys.wake:
			timer.Stop()
		case <-timer.C:
		}
		interval = shortAskInterval
		if f.table.Load() == nil {
			continue
		}
		interval = askInterval
		if !f.authenticates() {
			continue
		}
		peers, compared := f.peersToAsk()
		interval = intervalAfter(f.ask(ctx, peers), len(peers), compared)
	}
}

// peersToAsk returns the peers to be asked now, in order; none when no confirmation is due.
// compared is false while the versions are compared.
func (f *Follower) peersToAsk() (vms []string, compared bool) {
	self := f.options.Peers.Members.Self().GetVm()
	for _, member := range f.options.Peers.Members.Members() {
		if vm := member.GetVm(); vm != self {
			vms = append(vms, vm)
		}
	}
	now, readsStore := f.options.Uptime(), !f.hasFeeder() && !f.StoreUnreachable()
	f.keys.mu.Lock()
	defer f.keys.mu.Unlock()
	state := f.keys.state
	state.PeersKnown(len(vms), now)
	isTooSoon := !state.WantsAnswers() && now-f.keys.askedAt < askInterval && !f.keys.asksFail
	if isTooSoon || !state.ShouldAsk(f.keys.isUsed(now), readsStore, now) {
		return nil, state.Compared()
	}
	f.keys.askedAt = now
	f.keys.peers.prune(now)
	rank := func(vm string) int {
		if state.HasAnswered(vm) {
			return 3 // only others are of use for the comparison
		}
		return f.keys.peers.rank(vm)
	}
	rand.Shuffle(len(vms), func(i, j int) { vms[i], vms[j] = vms[j], vms[i] })
	slices.SortStableFunc(vms, func(a, b string) int { return cmp.Compare(rank(a), rank(b)) })
	return vms[:min(len(vms), maxAskedPeers)], state.Compared()
}
