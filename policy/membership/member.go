package membership

import (
	"errors"
	"fmt"
	"net/netip"
	"time"
)

// Status is the state of a member. The values are ordered: of two statements
// with the same incarnation the one with the greater status wins.
type Status uint8

// The states of a member.
const (
	Alive Status = iota + 1
	Suspect
	Leaving
	Dead
)

// String returns the status in lower case.
func (s Status) String() string {
	switch s {
	case Alive:
		return "alive"
	case Suspect:
		return "suspect"
	case Leaving:
		return "leaving"
	case Dead:
		return "dead"
	}
	return "unknown"
}

// Member describes one instance. A copy that is sent to other instances is called a
// statement about it.
type Member struct {
	VM string
	// Instance identifies the process; random and fixed for its life.
	Instance uint64
	// Incarnation orders the statements about a VM.
	Incarnation uint64
	Status      Status
	Region      string
	Zone        string
	// CallersAddress and PeersAddress are "IP:port".
	CallersAddress string
	PeersAddress   string
	// Capacity is the requests per second that the VM can serve; zero when unknown.
	Capacity uint32
	// Uptime is the age of the process at the time the statement is sent.
	Uptime time.Duration
	// Refresh orders the changes of the fields below within an incarnation.
	Refresh uint64
	// Generation is the newest configuration generation in force.
	Generation uint64
	// ConfigProblem says why the instance's configuration is behind; empty when it
	// is not.
	ConfigProblem string
	// RejectedCount is the number of definitions that the instance rejected.
	RejectedCount uint32
}

// Bounds on the fields of a statement.
const (
	maxNameBytes    = 63
	maxProblemBytes = 256
	maxIncarnation  = 1 << 40
)

// ErrInvalid is wrapped by the errors about malformed statements.
var ErrInvalid = errors.New("invalid member")

// validate checks a received statement and truncates a long ConfigProblem.
func validate(m *Member) error {
	if !validName(m.VM) {
		return fmt.Errorf("%w: vm name %.80q", ErrInvalid, m.VM)
	}
	if m.Status < Alive || m.Status > Dead {
		return fmt.Errorf("%w: vm %s: status %d", ErrInvalid, m.VM, m.Status)
	}
	if m.Incarnation > maxIncarnation || m.Uptime < 0 {
		return fmt.Errorf("%w: vm %s: incarnation %d, uptime %s", ErrInvalid, m.VM, m.Incarnation, m.Uptime)
	}
	if len(m.Region) > maxNameBytes || len(m.Zone) > maxNameBytes {
		return fmt.Errorf("%w: vm %s: region or zone too long", ErrInvalid, m.VM)
	}
	for _, address := range []string{m.CallersAddress, m.PeersAddress} {
		if _, err := netip.ParseAddrPort(address); err != nil {
			return fmt.Errorf("%w: vm %s: %w", ErrInvalid, m.VM, err)
		}
	}
	if len(m.ConfigProblem) > maxProblemBytes {
		m.ConfigProblem = m.ConfigProblem[:maxProblemBytes]
	}
	return nil
}

func validName(name string) bool {
	if name == "" || len(name) > maxNameBytes {
		return false
	}
	for i := range len(name) {
		c := name[i]
		if (c < 'a' || c > 'z') && (c < '0' || c > '9') && c != '-' {
			return false
		}
	}
	return true
}

// compareStatements compares two statements about one VM; positive when a is newer.
func compareStatements(a, b *Member) int {
	if a.Incarnation != b.Incarnation {
		return sign(a.Incarnation > b.Incarnation)
	}
	if a.Instance != b.Instance {
		if a.Uptime != b.Uptime {
			return sign(a.Uptime < b.Uptime)
		}
		return sign(a.Instance > b.Instance)
	}
	if a.Status != b.Status {
		return sign(a.Status > b.Status)
	}
	if a.Refresh != b.Refresh {
		return sign(a.Refresh > b.Refresh)
	}
	return 0
}

func sign(positive bool) int {
	if positive {
		return 1
	}
	return -1
}
