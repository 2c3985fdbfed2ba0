package snapshot

import (
	"encoding/json"
	"fmt"

	"github.com/primroseloom/primroseloom/config/document"
)

// MissingShards returns the shards of a root that a snapshot does not hold yet. The
// snapshot may be nil.
func MissingShards(root document.Root, previous *Snapshot) []document.ShardRef {
	missing := make([]document.ShardRef, 0)
	for _, ref := range root.Shards {
		if previous != nil {
			if _, ok := previous.parts[ref.Digest]; ok {
				continue
			}
		}
		missing = append(missing, ref)
	}
	return missing
}

// Compile builds the snapshot of a root. Contents holds the shards, by digest,
// that previous does not hold; previous may be nil. A shard that is lacking,
// altered or unreadable is an error, and then nothing of the root is in force.
func Compile(root document.Root, digest string, contents map[string][]byte, previous *Snapshot) (*Snapshot, error) {
	if previous == nil {
		previous = empty()
	}
	compiler := &compiler{previous: previous, next: empty()}
	compiler.next.Generation = root.Generation
	compiler.next.Digest = digest
	if err := compiler.load(root, contents); err != nil {
		return nil, err
	}
	compiler.services()
	compiler.routes()
	compiler.templates()
	if err := compiler.customers(); err != nil {
		return nil, err
	}
	return compiler.next, nil
}

// Build compiles shards that were never published, such as those of a test. A
// shard may hold several kinds.
func Build(generation uint64, shards []document.Shard, previous *Snapshot) *Snapshot {
	root := document.Root{Generation: generation}
	contents := make(map[string][]byte)
	for i, shard := range split(shards) {
		content, err := json.Marshal(shard)
		if err != nil {
			panic(fmt.Sprintf("shard %d: %v", i, err))
		}
		ref := document.ShardRef{Kind: kindOf(shard), Index: i, Digest: document.Digest(content), Size: len(content)}
		root.Shards = append(root.Shards, ref)
		contents[ref.Digest] = content
	}
	snap, err := Compile(root, "", contents, previous)
	if err != nil {
		panic(fmt.Sprintf("compile shards: %v", err))
	}
	return snap
}

// split returns shards of one kind each.
func split(shards []document.Shard) []document.Shard {
	var single []document.Shard
	for _, shard := range shards {
		for _, part := range []document.Shard{
			{Services: shard.Services},
			{Routes: shard.Routes},
			{Templates: shard.Templates},
			{Customers: shard.Customers},
		} {
			if !part.Empty() {
				single = append(single, part)
			}
		}
	}
	return single
}

func kindOf(shard document.Shard) document.ShardKind {
	switch {
	case len(shard.Services) > 0:
		return document.ShardServices
	case len(shard.Routes) > 0:
		return document.ShardRoutes
	case len(shard.Templates) > 0:
		return document.ShardTemplates
	}
	return document.ShardCustomers
}

func empty() *Snapshot {
	return &Snapshot{
		parts:        make(map[string]*part),
		services:     make(map[string]*document.Service),
		routes:       make(map[string][]document.Route),
		templates:    make(map[string]*compiledTemplate),
		customers:    newTable[string, *Customer](hashName),
		byCredential: newTable[credential, *Customer](hashCredential),
		refused:      make(map[string]document.Customer),
		rejected:     make(map[document.ShardKind][]Rejection),
	}
}

// compiler builds one snapshot from the one before it.
type compiler struct {
	previous *Snapshot
	next     *Snapshot
	// changed marks the kinds of which a shard came or went.
	changed map[document.ShardKind]bool
	// parsed holds the shards that the next snapshot is built from.
	parsed []document.Shard
}

// load verifies the new shards and reads those of the kinds that changed. Of
// the customers it reads the new shards only.
func (c *compiler) load(root document.Root, contents map[string][]byte) error {
	c.changed = make(map[document.ShardKind]bool)
	for _, ref := range root.Shards {
		if err := c.loadPart(ref, contents); err != nil {
			return err
		}
	}
	for digest, held := range c.previous.parts {
		if _, kept := c.next.parts[digest]; !kept {
			c.changed[held.ref.Kind] = true
		}
	}
	c.spreadChanges()
	for _, ref := range root.Shards {
		_, kept := c.previous.parts[ref.Digest]
		if !c.changed[ref.Kind] || (kept && ref.Kind == document.ShardCustomers && !c.previous.duplicates) {
			continue
		}
		shard, err := document.ParseShard(ref, c.next.parts[ref.Digest].content)
		if err != nil {
			return err
		}
		c.parsed = append(c.parsed, shard)
	}
	return nil
}

// spreadChanges marks the kinds that have to be judged anew because another
// kind changed.
func (c *compiler) spreadChanges() {
	if c.changed[document.ShardServices] {
		c.changed[document.ShardRoutes] = true
	}
	if c.changed[document.ShardTemplates] && c.previous.duplicates {
		c.changed[document.ShardCustomers] = true
	}
}

// loadPart takes a shard over, from the snapshot before or from the contents.
func (c *compiler) loadPart(ref document.ShardRef, contents map[string][]byte) error {
	if held, ok := c.previous.parts[ref.Digest]; ok {
		c.next.parts[ref.Digest] = held
		return nil
	}
	content, given := contents[ref.Digest]
	if !given {
		return fmt.Errorf("%s shard %s is lacking", ref.Kind, ref.Digest)
	}
	c.next.parts[ref.Digest] = &part{ref: ref, content: content}
	c.changed[ref.Kind] = true
	return nil
}

func (c *compiler) reject(kind document.ShardKind, name string, reason error, keptLastGood bool) {
	path := fmt.Sprintf("%s[%s]", kind, name)
	rejection := Rejection{Path: path, Reason: reason.Error(), KeptLastGood: keptLastGood}
	c.next.rejected[kind] = append(c.next.rejected[kind], rejection)
}
