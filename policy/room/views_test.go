package room_test

import (
	"slices"
	"strconv"
	"time"

	"github.com/primroseloom/primroseloom/policy/placement"
	"github.com/primroseloom/primroseloom/policy/room"
)

// view is what one VM knows of one target.
type view struct {
	inUse int
	held  room.Fullness
	// reported is what the target held at reportedAt, which is used for reportAge.
	reported   int
	reportedAt time.Duration
}

// reportAge is how long a report of a target is used today.
const reportAge = 100 * time.Millisecond

func (r *run) candidates(j *job, at time.Duration) ([]placement.Candidate, []int) {
	candidates, indices := make([]placement.Candidate, 0, r.targets), make([]int, 0, r.targets)
	for t, v := range r.views[j.vm] {
		if slices.Contains(j.attempted, t) {
			continue
		}
		c := placement.Candidate{ID: strconv.Itoa(t), SameZone: t%3 == j.vm%3, Slots: r.slots, InUse: v.inUse}
		if v.reported > 0 && at-v.reportedAt < reportAge {
			c.InUse = max(c.InUse, v.reported)
		}
		if r.remembersFull {
			c.Full = v.held.IsFull(r.meanRun, at)
		}
		candidates = append(candidates, c)
		indices = append(indices, t)
	}
	return candidates, indices
}

// tell changes what the VMs know of the attempts at a target: the VM itself at once, the others
// by its next datagram.
func (r *run) tell(vm, target, change int, at time.Duration) {
	r.learn(vm, target, change)
	r.views[vm][target].held.Begun(max(change, 0))
	delay := r.minDelay + time.Duration(r.random.Int64N(int64(r.maxDelay-r.minDelay)+1))
	r.schedule(at+delay, func(time.Duration) {
		for other := range r.vms {
			if other != vm {
				r.learn(other, target, change)
			}
		}
	})
}

func (r *run) learn(vm, target, change int) {
	v := &r.views[vm][target]
	v.inUse += change
	v.held.Ended(max(-change, 0))
}

// tellFull makes the VMs know that a target has refused for lack of room.
func (r *run) tellFull(vm, target int, at time.Duration) {
	held := r.running[target] + len(r.waiting[target])
	set := func(vm int, at time.Duration) {
		v := &r.views[vm][target]
		v.held, v.reported, v.reportedAt = room.RefusedFull(held, r.slots, at), held, at
	}
	set(vm, at)
	delay := r.minDelay + time.Duration(r.random.Int64N(int64(r.maxDelay-r.minDelay)+1))
	r.schedule(at+delay, func(at time.Duration) {
		for other := range r.vms {
			if other != vm {
				set(other, at)
			}
		}
	})
}

// leave lets some callers leave before the response.
func (r *run) leave(j *job, target int, at time.Duration) {
	if r.random.Float64() >= r.leaving {
		return
	}
	r.schedule(at+r.patience, func(at time.Duration) {
		if j.from != nil {
			j.left = true
			r.tell(j.vm, target, -1, at)
		}
	})
}
