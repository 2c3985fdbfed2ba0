package generation

import (
	"math/rand/v2"
	"time"
)

// DefaultFleetSize is the number of instances that the budget allows for when
// the settings state none.
const DefaultFleetSize = 200

// Rates of platform calls, in calls a second.
const (
	// fleetRate is shared by a fleet of the stated size.
	fleetRate = 1500.0
	// followersShare is the part of it that instances which are no readers spend.
	followersShare = 0.25
	// maxReaderRate bounds one reader.
	maxReaderRate = 50.0
)

// Times of the reading of the platform.
const (
	// ConfirmationMaxAge is the age up to which a confirmation by the platform,
	// heard from any reader, makes an own read needless.
	ConfirmationMaxAge = 30 * time.Second
	// FallbackReadInterval is the mean time between two own reads of an instance
	// that is no reader and has heard no fresh confirmation.
	FallbackReadInterval = 15 * time.Second
	// StartSpread is the time over which starting instances spread their first read.
	StartSpread = 2 * time.Second
)

// CallRate returns the platform calls a second that an instance may spend in a
// fleet of at most fleetSize instances.
func CallRate(role Role, fleetSize int) float64 {
	share := fleetRate / float64(max(fleetSize, 1))
	if !role.Reader {
		return followersShare * share
	}
	readers := (1 - followersShare) * share * float64(role.Members) / float64(max(role.Readers, 1))
	return min(readers, maxReaderRate)
}

// Budget spaces platform calls evenly; it saves up nothing for a burst.
type Budget struct {
	nextCall time.Time
}

// Reserve books the next call and returns how long to wait for it.
func (b *Budget) Reserve(now time.Time, rate float64) time.Duration {
	at := b.nextCall
	if at.Before(now) {
		at = now
	}
	b.nextCall = at.Add(time.Duration(float64(time.Second) / rate))
	return at.Sub(now)
}

// Jitter returns a time between half and one and a half of the mean.
func Jitter(random *rand.Rand, mean time.Duration) time.Duration {
	return mean/2 + time.Duration(random.Int64N(int64(mean)+1))
}

// StartDelay returns how long a starting instance waits before its first read.
func StartDelay(random *rand.Rand) time.Duration {
	return time.Duration(random.Int64N(int64(StartSpread)))
}

// NeedsOwnRead reports whether an instance that is no reader has to read the
// platform itself, given the time of the last confirmation that it heard of.
func NeedsOwnRead(now, confirmed time.Time) bool {
	return now.Sub(confirmed) > ConfirmationMaxAge
}
