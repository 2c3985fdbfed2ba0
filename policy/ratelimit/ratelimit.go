// Package ratelimit shares the rate of requests that a target takes among the VMs.
//
// A target names one limit for all VMs together, often a few requests a second, while
// dozens of VMs may know of it. A part for each VM would be a request in many seconds, and
// if each may save up one request, all of them together send as many at one moment. So
// only a few VMs send requests to a limited target, its holders: about one for each
// request a second. All VMs choose the same holders by rendezvous hashing over the VMs
// that serve callers; the holders of different targets differ. When the VMs' views differ,
// a few holders too many send for as long as that lasts.
//
// A holder's bucket is empty when it becomes a holder and saves up one request at most.
// In any time t, H holders with the total rate L so send at most L*t + H requests.
package ratelimit

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// ratePerHolder is the requests a second of one holder, approximately.
	ratePerHolder = 1.0
	// margin is the part of the limit that the holders use together; the rest is for
	// requests of VMs that have not heard of the limit yet.
	margin = 0.95
	// minRate is the total rate, in requests a second, at which a target that takes
	// (almost) nothing still gets requests, since only a response can lift the limit.
	minRate = 0.1
)

// Share returns the rate, in requests a second, at which this VM may send requests to a
// target that takes a limited rate of all VMs together; zero when it may send none. The
// VMs are the names of those that serve callers.
func Share(target string, perSecond float64, vms []string, self string) float64 {
	if !slices.Contains(vms, self) {
		return 0
	}
	holders := holderCount(perSecond, len(vms))
	ahead, own := 0, score(target, self)
	for _, vm := range vms {
		if other := score(target, vm); other > own || other == own && vm < self {
			ahead++
		}
	}
	if ahead >= holders {
		return 0
	}
	return max(perSecond*margin, minRate) / float64(holders)
}

// holderCount returns the number of holders of a target.
func holderCount(perSecond float64, vms int) int {
	count := math.Ceil(perSecond / ratePerHolder)
	return int(min(max(count, 1), float64(vms)))
}

// score ranks the VMs for a target; the holders have the highest scores.
func score(target, vm string) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(target)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(vm)
	return digest.Sum64()
}

// Bucket limits the requests of one VM to one target. The zero value is empty.
type Bucket struct {
	// saved is the part of a request that is saved up, at most one.
	saved     float64
	updatedAt time.Duration
	isFilling bool
}

// Wait returns the time until the next request may be sent at a rate, in requests a
// second; ok is false when none may be sent at all.
func (b *Bucket) Wait(rate float64, now time.Duration) (wait time.Duration, ok bool) {
	if rate <= 0 {
		*b = Bucket{}
		return 0, false
	}
	if b.isFilling {
		b.saved = min(b.saved+rate*(now-b.updatedAt).Seconds(), 1)
	}
	b.updatedAt, b.isFilling = now, true
	return time.Duration((1 - b.saved) / rate * float64(time.Second)), true
}

// Spend uses up the request that Wait has allowed.
func (b *Bucket) Spend() { b.saved = 0 }
