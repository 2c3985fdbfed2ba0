package generation

import (
	"math/rand/v2"
	"time"
)

// DefaultFleetSize is the fleet size that the budget assumes when the settings
// state none.
const DefaultFleetSize = 200

// Rates of platform calls, in calls per second.
const (
	// fleetCallRate is shared by a fleet of the size in the settings.
	fleetCallRate = 1500.0
	// nonReaderShare is the fraction of it for instances that are not readers.
	nonReaderShare = 0.25
	// maxReaderCallRate bounds one reader.
	maxReaderCallRate = 50.0
)

// Times that control reads from the platform.
const (
	// ConfirmationMaxAge is the age up to which a platform confirmation received
	// from any reader makes a read by the instance itself unnecessary.
	ConfirmationMaxAge = 30 * time.Second
	// FallbackReadInterval is the mean time between two platform reads by an
	// instance that is not a reader and has received no recent confirmation.
	FallbackReadInterval = 15 * time.Second
	// StartSpread is the time over which starting instances spread their first reads.
	StartSpread = 2 * time.Second
)

// CallRate returns the platform calls per second that an instance may make in a
// fleet of at most fleetSize instances.
func CallRate(role Role, fleetSize int) float64 {
	share := fleetCallRate / float64(max(fleetSize, 1))
	if !role.Reader {
		return nonReaderShare * share
	}
	readerRate := (1 - nonReaderShare) * share * float64(role.Members) / float64(max(role.Readers, 1))
	return min(readerRate, maxReaderCallRate)
}

// Budget spaces platform calls evenly; unused calls do not accumulate for a burst.
type Budget struct {
	nextCall time.Time
}

// Reserve reserves the next call and returns how long to wait before making it.
func (b *Budget) Reserve(now time.Time, callsPerSecond float64) time.Duration {
	at := b.nextCall
	if at.Before(now) {
		at = now
	}
	b.nextCall = at.Add(time.Duration(float64(time.Second) / callsPerSecond))
	return at.Sub(now)
}

// Jitter returns a random time between 0.5 and 1.5 times the mean.
func Jitter(random *rand.Rand, mean time.Duration) time.Duration {
	return mean/2 + time.Duration(random.Int64N(int64(mean)+1))
}

// StartDelay returns how long a starting instance waits before its first read.
func StartDelay(random *rand.Rand) time.Duration {
	return time.Duration(random.Int64N(int64(StartSpread)))
}

// NeedsOwnRead reports whether an instance that is not a reader has to read the
// platform itself, given the time of the last confirmation that it received.
func NeedsOwnRead(now, confirmed time.Time) bool {
	return now.Sub(confirmed) > ConfirmationMaxAge
}
