package document

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
)

// Root lists the shards that are in force at a generation.
type Root struct {
	// Generation increases with each publication and is never reused.
	Generation uint64     `json:"generation"`
	Shards     []ShardRef `json:"shards"`
}

// ShardRef refers to a shard by the SHA-256 digest of its content.
type ShardRef struct {
	Kind   ShardKind `json:"kind"`
	Index  int       `json:"index"`
	Digest string    `json:"digest"`
	// Size is in bytes.
	Size int `json:"size"`
}

// ShardKind is the kind of definitions that a shard holds.
type ShardKind string

// The kinds of shards.
const (
	ShardServices  ShardKind = "services"
	ShardRoutes    ShardKind = "routes"
	ShardTemplates ShardKind = "templates"
	ShardCustomers ShardKind = "customers"
)

// Shard is the content of one published shard; only the field of its kind is set.
type Shard struct {
	Services  []Service  `json:"services,omitempty"`
	Routes    []Route    `json:"routes,omitempty"`
	Templates []Template `json:"templates,omitempty"`
	Customers []Customer `json:"customers,omitempty"`
}

// Size limits of the published values.
const (
	// MaxValueBytes is the largest value that the platform stores.
	MaxValueBytes = 1_000_000
	// MaxTotalBytes is the largest sum of all shards of one generation.
	MaxTotalBytes = 24_000_000
	// MaxShards is the largest number of shards of one generation.
	MaxShards = 4096
)

// Keys of the platform's values. A shard's key is ShardKeyPrefix and its digest.
const (
	RootKey        = "primroseloom/root"
	ShardKeyPrefix = "primroseloom/shard/"
	VMListKey      = "primroseloom/vms"
)

// VMList is the platform's list of VMs, which lags behind the actual state.
type VMList struct {
	Entries []VMEntry `json:"entries"`
}

// VMEntry is one row of the VM list, for an entry VM or a target's VM.
type VMEntry struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Leaving bool   `json:"leaving,omitempty"`
}

// ErrMalformed means that a published value does not have the expected form.
var ErrMalformed = errors.New("malformed value")

// Digest returns the SHA-256 digest of a value in lower-case hex.
func Digest(content []byte) string {
	sum := sha256.Sum256(content)
	return hex.EncodeToString(sum[:])
}

// ParseRoot decodes a root value and checks its limits.
func ParseRoot(content []byte) (Root, error) {
	if len(content) > MaxValueBytes {
		return Root{}, fmt.Errorf("root of %d bytes: %w: at most %d bytes", len(content), ErrMalformed, MaxValueBytes)
	}
	var root Root
	if err := json.Unmarshal(content, &root); err != nil {
		return Root{}, fmt.Errorf("root: %w: %w", ErrMalformed, err)
	}
	if err := root.validate(); err != nil {
		return Root{}, fmt.Errorf("root: %w", err)
	}
	return root, nil
}

// ParseShard decodes the content of a shard and verifies it against its reference.
func ParseShard(ref ShardRef, content []byte) (Shard, error) {
	if len(content) != ref.Size {
		return Shard{}, fmt.Errorf("shard %s: %w: %d bytes, want %d", ref.Digest, ErrMalformed, len(content), ref.Size)
	}
	if digest := Digest(content); digest != ref.Digest {
		return Shard{}, fmt.Errorf("shard %s: %w: content has digest %s", ref.Digest, ErrMalformed, digest)
	}
	var shard Shard
	if err := json.Unmarshal(content, &shard); err != nil {
		return Shard{}, fmt.Errorf("shard %s: %w: %w", ref.Digest, ErrMalformed, err)
	}
	if !shard.holdsOnly(ref.Kind) {
		return Shard{}, fmt.Errorf("shard %s: %w: holds more than %s", ref.Digest, ErrMalformed, ref.Kind)
	}
	return shard, nil
}

// holdsOnly reports whether a shard has no definitions of other kinds.
func (s Shard) holdsOnly(kind ShardKind) bool {
	counts := map[ShardKind]int{
		ShardServices:  len(s.Services),
		ShardRoutes:    len(s.Routes),
		ShardTemplates: len(s.Templates),
		ShardCustomers: len(s.Customers),
	}
	delete(counts, kind)
	for _, count := range counts {
		if count > 0 {
			return false
		}
	}
	return true
}

func (r Root) validate() error {
	if r.Generation == 0 {
		return fmt.Errorf("%w: generation 0, want at least 1", ErrMalformed)
	}
	if len(r.Shards) > MaxShards {
		return fmt.Errorf("%w: %d shards, at most %d", ErrMalformed, len(r.Shards), MaxShards)
	}
	type shardID struct {
		kind  ShardKind
		index int
	}
	seen := make(map[shardID]bool, len(r.Shards))
	total := 0
	for _, ref := range r.Shards {
		if err := ref.validate(); err != nil {
			return err
		}
		id := shardID{ref.Kind, ref.Index}
		if seen[id] {
			return fmt.Errorf("%w: %s shard %d stands twice", ErrMalformed, ref.Kind, ref.Index)
		}
		seen[id] = true
		total += ref.Size
	}
	if total > MaxTotalBytes {
		return fmt.Errorf("%w: shards of %d bytes, at most %d", ErrMalformed, total, MaxTotalBytes)
	}
	return nil
}

func (ref ShardRef) validate() error {
	switch ref.Kind {
	case ShardServices, ShardRoutes, ShardTemplates, ShardCustomers:
	default:
		return fmt.Errorf("%w: shard kind %q", ErrMalformed, ref.Kind)
	}
	if ref.Size <= 0 || ref.Size > MaxValueBytes {
		return fmt.Errorf("%w: shard %s of %d bytes, want 1 to %d", ErrMalformed, ref.Digest, ref.Size, MaxValueBytes)
	}
	raw, err := hex.DecodeString(ref.Digest)
	if err != nil || len(raw) != sha256.Size {
		return fmt.Errorf("%w: shard digest %q is no SHA-256 in hex", ErrMalformed, ref.Digest)
	}
	return nil
}

// Empty reports whether the shard holds nothing.
func (s Shard) Empty() bool {
	return len(s.Services)+len(s.Routes)+len(s.Templates)+len(s.Customers) == 0
}
