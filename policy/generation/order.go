package generation

import (
	"cmp"
	"time"
)

// StartWait is how long a starting instance waits for both its peers and the
// platform before it puts the newest root that it has received in force.
const StartWait = 2 * time.Second

// Root identifies a published root.
type Root struct {
	Generation uint64
	// Digest is the SHA-256 digest of the root value, in hex.
	Digest string
}

// Compare orders roots by generation and then by digest.
func Compare(a, b Root) int {
	if c := cmp.Compare(a.Generation, b.Generation); c != 0 {
		return c
	}
	return cmp.Compare(a.Digest, b.Digest)
}

// Source says where an offered root came from.
type Source int

// The sources of a root.
const (
	FromPlatform Source = iota
	FromPeer
)

// Decision says how an offered root compares with the newest one so far.
type Decision int

// The decisions about an offered root.
const (
	// Newer is a root of a newer generation than the newest one so far.
	Newer Decision = iota
	// Same is the newest root, offered again.
	Same
	// Older is a root of an older generation; it is ignored and counted.
	Older
	// Conflict is another root of the newest generation that is ordered before it.
	Conflict
	// ConflictNewer is another root of the newest generation that is ordered after it.
	ConflictNewer
)

// Accepted reports whether the offered root became the newest.
func (d Decision) Accepted() bool { return d == Newer || d == ConflictNewer }

// Decider keeps the newest root that was offered and the one in force.
type Decider struct {
	started   time.Time
	newest    Root
	inForce   Root
	responded [2]bool
	counts    Counts
}

// Counts are the numbers of older and of conflicting offers.
type Counts struct {
	OlderFromPlatform uint64
	OlderFromPeer     uint64
	Conflicts         uint64
}

// NewDecider returns a decider for an instance that starts now.
func NewDecider(now time.Time) *Decider { return &Decider{started: now} }

// Offer compares a root offered by a source with the newest one, and keeps it when
// it is newer.
func (d *Decider) Offer(root Root, source Source) Decision {
	d.responded[source] = true
	switch {
	case root == d.newest:
		return Same
	case root.Generation < d.newest.Generation:
		d.countOlder(source)
		return Older
	case root.Generation == d.newest.Generation && Compare(root, d.newest) < 0:
		d.counts.Conflicts++
		return Conflict
	case root.Generation == d.newest.Generation:
		d.counts.Conflicts++
		d.newest = root
		return ConflictNewer
	}
	d.newest = root
	return Newer
}

func (d *Decider) countOlder(source Source) {
	if source == FromPlatform {
		d.counts.OlderFromPlatform++
		return
	}
	d.counts.OlderFromPeer++
}

// NoteResponse records that a source responded without offering a root.
func (d *Decider) NoteResponse(source Source) { d.responded[source] = true }

// Next returns the root to put in force now. It returns false when the newest
// root is in force, or when a starting instance has to wait.
func (d *Decider) Next(now time.Time) (Root, bool) {
	if Compare(d.newest, d.inForce) <= 0 {
		return Root{}, false
	}
	starting := d.inForce == Root{}
	if starting && !d.bothResponded() && now.Sub(d.started) < StartWait {
		return Root{}, false
	}
	return d.newest, true
}

func (d *Decider) bothResponded() bool { return d.responded[FromPlatform] && d.responded[FromPeer] }

// MarkInForce records that a root is in force. It returns false, and changes
// nothing, when the root is not ordered after the one in force.
func (d *Decider) MarkInForce(root Root) bool {
	if Compare(root, d.inForce) <= 0 {
		return false
	}
	d.inForce = root
	if Compare(root, d.newest) > 0 {
		d.newest = root
	}
	return true
}

// Discard discards a root that cannot be put in force, such as one whose shards are
// malformed, so that another root of its generation can be accepted.
func (d *Decider) Discard(root Root) {
	if d.newest == root {
		d.newest = d.inForce
	}
}

// InForce returns the root in force.
func (d *Decider) InForce() Root { return d.inForce }

// Newest returns the newest root offered.
func (d *Decider) Newest() Root { return d.newest }

// Counts returns the numbers of older and of conflicting offers.
func (d *Decider) Counts() Counts { return d.counts }
