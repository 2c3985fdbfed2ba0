package generation

import (
	"cmp"
	"time"
)

// StartWait is how long a starting instance waits for both its peers and the
// platform before it takes what it has heard.
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

// Source tells who offered a root.
type Source int

// The sources of a root.
const (
	FromPlatform Source = iota
	FromPeer
)

// Decision tells what an offered root is to the instance.
type Decision int

// The verdicts.
const (
	// Newer roots come after all that were offered before.
	Newer Decision = iota
	// Same is the newest root again.
	Same
	// Older roots are ignored and counted.
	Older
	// Conflict is another root of the newest generation that comes before it.
	Conflict
	// ConflictNewer is another root of the newest generation that comes after it.
	ConflictNewer
)

// Accepted reports whether the offered root became the newest.
func (v Decision) Accepted() bool { return v == Newer || v == ConflictNewer }

// Decider keeps the newest root that was offered and the one in force.
type Decider struct {
	started time.Time
	newest  Root
	inForce Root
	heard   [2]bool
	counts  Counts
}

// Counts are the offers that were not taken, by cause.
type Counts struct {
	OlderFromPlatform uint64
	OlderFromPeer     uint64
	Conflicts         uint64
}

// NewDecider returns a decider for an instance that starts now.
func NewDecider(now time.Time) *Decider { return &Decider{started: now} }

// Offer judges a root that a source holds.
func (d *Decider) Offer(root Root, source Source) Decision {
	d.heard[source] = true
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

// NoteResponse notes that a source was reached though it holds no root.
func (d *Decider) NoteResponse(source Source) { d.heard[source] = true }

// Next returns the root to put in force now. It returns false when the newest
// root is in force, or when a starting instance has to wait.
func (d *Decider) Next(now time.Time) (Root, bool) {
	if Compare(d.newest, d.inForce) <= 0 {
		return Root{}, false
	}
	starting := d.inForce == Root{}
	if starting && !d.heardBoth() && now.Sub(d.started) < StartWait {
		return Root{}, false
	}
	return d.newest, true
}

func (d *Decider) heardBoth() bool { return d.heard[FromPlatform] && d.heard[FromPeer] }

// MarkInForce notes that a root is in force. It returns false, and changes nothing,
// when the root does not come after the one in force.
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

// Discard gives up a root that cannot be put in force, such as one whose
// shards are malformed, so that another offer of its generation can be taken.
func (d *Decider) Discard(root Root) {
	if d.newest == root {
		d.newest = d.inForce
	}
}

// InForce returns the root in force.
func (d *Decider) InForce() Root { return d.inForce }

// Newest returns the newest root offered.
func (d *Decider) Newest() Root { return d.newest }

// Counts returns the offers that were not taken.
func (d *Decider) Counts() Counts { return d.counts }
