package config

import (
	"context"
	"fmt"
	"time"

	"connectrpc.com/connect"

	"github.com/primroseloom/primroseloom/policy/generation"
	"github.com/primroseloom/primroseloom/wire/primroseloomv1"
)

const (
	// maxParents is the number of parents that are polled concurrently.
	maxParents = 2
	// pollWait is how long a parent may hold a long poll open.
	pollWait = 5 * time.Second
	// pollTimeout is the time that a poll may take beyond its wait.
	pollTimeout = time.Second
	// pollBackoff is the mean wait after a poll that failed or returned at once.
	pollBackoff = 200 * time.Millisecond
	// catchUpInterval is how often the members' generations are compared with the
	// newest known one.
	catchUpInterval = 250 * time.Millisecond
)

// pollParent keeps a long poll open to the parent at an index of the role's
// list. Until a parent has responded, polls do not wait, so that a starting
// instance learns at once whether its peers have a configuration.
func (m *Manager) pollParent(ctx context.Context, index int) {
	responded := false
	for ctx.Err() == nil {
		role := m.currentRole()
		if index >= len(role.Parents) {
			pause(ctx, m.jitter(pollBackoff))
			continue
		}
		wait := pollWait
		if !responded {
			wait = 0
		}
		begin := time.Now()
		err := m.fetchRootFromPeer(ctx, role.Parents[index], wait)
		if err != nil {
			m.metrics.peerFailures.Inc(1)
		}
		responded = responded || err == nil
		if err != nil || time.Since(begin) < pollBackoff/2 {
			pause(ctx, m.jitter(pollBackoff))
		}
	}
}

// fetchRootFromPeer requests a root newer than the newest known one from a member
// and offers it to the decider.
func (m *Manager) fetchRootFromPeer(ctx context.Context, vm string, wait time.Duration) error {
	client, ok := m.options.Members.Client(vm)
	if !ok {
		return fmt.Errorf("fetch root from %s: no such member", vm)
	}
	ctx, cancel := context.WithTimeout(ctx, wait+pollTimeout)
	defer cancel()
	known := m.newestRoot()
	request := &primroseloomv1.FetchRootRequest{
		Fleet:           m.options.Fleet,
		KnownGeneration: known.Generation,
		KnownDigest:     known.Digest,
		WaitMs:          uint32(wait.Milliseconds()),
		FromVm:          m.options.Members.Self().Vm,
	}
	response, err := client.FetchRoot(ctx, connect.NewRequest(request))
	if err != nil {
		return fmt.Errorf("fetch root from %s: %w", vm, err)
	}
	if len(response.Msg.Root) == 0 {
		m.noteNoNewerRoot(generation.FromPeer)
	} else if _, err := m.offer(response.Msg.Root, vm, 0); err != nil {
		return fmt.Errorf("fetch root from %s: %w", vm, err)
	}
	if response.Msg.Generation >= m.newestRoot().Generation {
		m.confirm(time.Duration(response.Msg.ConfirmedAgeMs) * time.Millisecond)
	}
	return nil
}

// catchUp requests the root from a member whose statement carries a newer
// generation, when the polls have not brought it within one interval.
func (m *Manager) catchUp(ctx context.Context) {
	var previous uint64
	for ctx.Err() == nil {
		pause(ctx, catchUpInterval)
		newest := m.newestRoot().Generation
		ahead, vms := m.membersAhead(newest)
		if len(vms) == 0 || previous <= newest {
			previous = ahead
			continue
		}
		m.mu.Lock()
		vm := vms[m.options.Random.IntN(len(vms))]
		m.mu.Unlock()
		if err := m.fetchRootFromPeer(ctx, vm, 0); err != nil {
			m.metrics.peerFailures.Inc(1)
		}
	}
}

// membersAhead returns the newest generation in the members' statements and the
// other members whose generation is above the given one.
func (m *Manager) membersAhead(known uint64) (uint64, []string) {
	var newest uint64
	var vms []string
	self := m.options.Members.Self().Vm
	for _, member := range m.options.Members.Members() {
		newest = max(newest, member.Generation)
		if member.Generation > known && member.Vm != self {
			vms = append(vms, member.Vm)
		}
	}
	return newest, vms
}
