package membership

import "time"

// Settings are the parameters of a State.
type Settings struct {
	// Rings is the number of members that an instance probes.
	Rings int
	// ProbeInterval is the time between two probes of one member.
	ProbeInterval time.Duration
	// ProbeTimeout bounds one ping, direct or by a relay.
	ProbeTimeout time.Duration
	// RetryRounds is the number of repetitions before a suspicion is raised.
	RetryRounds int
	// RoundInterval is the time between two repetitions.
	RoundInterval time.Duration
	// Relays is the number of indirect pings in a round.
	Relays int
	// SuspectTimeout is the time in which a suspicion can be refuted.
	SuspectTimeout time.Duration
	// ChallengeTimeout is the time in which a member that is seen alive here
	// and dead elsewhere can refute, before it is suspected.
	ChallengeTimeout time.Duration
	// IsolatedAfter is the time without any answer after which the instance
	// takes itself to be cut off.
	IsolatedAfter time.Duration
	// HoldDown is the first time a repeatedly suspected member is not offered;
	// it doubles with each further suspicion up to MaxHoldDown.
	HoldDown    time.Duration
	MaxHoldDown time.Duration
	// MaxHeldDownShare is the part of the members that may be held down at a time.
	MaxHeldDownShare float64
	// RefutationMemory is the time after which a refuted suspicion is forgotten.
	RefutationMemory time.Duration
	// RejoinInterval is the time between two tries of an address outside the view.
	RejoinInterval time.Duration
	// SyncInterval is the least time between two exchanges of whole lists.
	SyncInterval time.Duration
	// TombstoneMemory is the time for which a dead member is remembered.
	TombstoneMemory time.Duration
	// MaxUpdates bounds the statements in one message.
	MaxUpdates int
	// MaxMembers bounds the members remembered, and apart from these the tombstones.
	MaxMembers int
	// JoinsPerSecond bounds the unknown members accepted by direct contact.
	JoinsPerSecond int
}

// DefaultSettings returns the parameters for fleets up to MaxMembers.
func DefaultSettings() Settings {
	return Settings{
		Rings:            4,
		ProbeInterval:    time.Second,
		ProbeTimeout:     300 * time.Millisecond,
		RetryRounds:      6,
		RoundInterval:    200 * time.Millisecond,
		Relays:           3,
		SuspectTimeout:   5 * time.Second,
		ChallengeTimeout: time.Second,
		IsolatedAfter:    1500 * time.Millisecond,
		HoldDown:         5 * time.Second,
		MaxHoldDown:      2 * time.Minute,
		MaxHeldDownShare: 0.2,
		RefutationMemory: 2 * time.Minute,
		RejoinInterval:   5 * time.Second,
		SyncInterval:     5 * time.Second,
		TombstoneMemory:  time.Hour,
		MaxUpdates:       64,
		MaxMembers:       2048,
		JoinsPerSecond:   64,
	}
}
