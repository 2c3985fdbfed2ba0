package membership

import "time"

// Settings are the parameters of a State.
type Settings struct {
	// Rings is the number of rings; an instance probes its successor on each.
	Rings int
	// ProbeInterval is the time between two probes of one member.
	ProbeInterval time.Duration
	// ProbeTimeout bounds one ping, direct or through a relay.
	ProbeTimeout time.Duration
	// RetryRounds is the number of retries before a suspicion is raised.
	RetryRounds int
	// RoundInterval is the time between two retries.
	RoundInterval time.Duration
	// Relays is the number of indirect pings in a round.
	Relays int
	// SuspectTimeout is the time in which a suspicion can be refuted.
	SuspectTimeout time.Duration
	// ChallengeTimeout is the time in which a member that this instance sees
	// alive and another one sees dead can refute, before it is suspected.
	ChallengeTimeout time.Duration
	// IsolatedAfter is the time without any response after which the instance
	// considers itself isolated.
	IsolatedAfter time.Duration
	// HoldDown is how long a member is not advertised after its second refuted
	// suspicion; it doubles with each further one up to MaxHoldDown.
	HoldDown    time.Duration
	MaxHoldDown time.Duration
	// MaxHeldDownShare is the fraction of the members that may be held down at a time.
	MaxHeldDownShare float64
	// RefutationMemory is how long refuted suspicions count after the last one.
	RefutationMemory time.Duration
	// RejoinInterval is the mean time between two joins of an address outside the view.
	RejoinInterval time.Duration
	// SyncInterval is the minimum time between two exchanges of complete lists.
	SyncInterval time.Duration
	// TombstoneMemory is how long a dead member is remembered.
	TombstoneMemory time.Duration
	// MaxUpdates bounds the statements in one message.
	MaxUpdates int
	// MaxMembers bounds the number of members and, separately, of tombstones.
	MaxMembers int
	// JoinsPerSecond bounds the rate at which unknown members that contact this
	// instance directly are accepted.
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
