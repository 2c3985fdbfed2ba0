package snapshot

import (
	"encoding/json"
	"fmt"

	"github.com/primroseloom/primroseloom/config/document"
)

// MissingShards returns the shards of a root that a snapshot does not have yet. The
// snapshot may be nil.
func MissingShards(root document.Root, previous *Snapshot) []document.ShardRef {
	missing := make([]document.ShardRef, 0)
	for _, ref := range root.Shards {
		if previous != nil {
			if _, ok := previous.shards[ref.Digest]; ok {
				continue
			}
		}
		missing = append(missing, ref)
	}
	return missing
}

// Compile builds the snapshot of a root. Contents has the shards, by digest,
// that previous does not have; previous may be nil. A shard that is missing,
// altered or unreadable is an error, and then nothing of the root is in force.
func Compile(root document.Root, digest string, contents map[string][]byte, previous *Snapshot) (*Snapshot, error) {
	if previous == nil {
		previous = newSnapshot()
	}
	compiler := &compiler{previous: previous, next: newSnapshot()}
	compiler.next.Generation = root.Generation
	compiler.next.Digest = digest
	if err := compiler.load(root, contents); err != nil {
		return nil, err
	}
	compiler.compileServices()
	compiler.compileRoutes()
	compiler.compileTemplates()
	if err := compiler.compileCustomers(); err != nil {
		return nil, err
	}
	return compiler.next, nil
}

// Build compiles shards that were never published, such as those of a test. A
// shard may hold several kinds.
func Build(generation uint64, shards []document.Shard, previous *Snapshot) *Snapshot {
	root := document.Root{Generation: generation}
	contents := make(map[string][]byte)
	for i, shard := range splitByKind(shards) {
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

// splitByKind splits shards into shards of one kind each.
func splitByKind(shards []document.Shard) []document.Shard {
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

func newSnapshot() *Snapshot {
	return &Snapshot{
		shards:            make(map[string]*publishedShard),
		services:          make(map[string]*document.Service),
		routes:            make(map[string][]document.Route),
		templates:         make(map[string]*compiledTemplate),
		customers:         newTable[string, *Customer](hashName),
		byCredential:      newTable[credentialDigest, *Customer](hashCredentialDigest),
		rejectedCustomers: make(map[string]document.Customer),
		rejected:          make(map[document.ShardKind][]Rejection),
	}
}

// compiler builds one snapshot from the previous one.
type compiler struct {
	previous *Snapshot
	next     *Snapshot
	// changed marks the kinds of which a shard was added or removed.
	changed map[document.ShardKind]bool
	// parsed holds the shards that the next snapshot is built from.
	parsed []document.Shard
}

// load verifies the new shards and parses those of the kinds that changed. Of
// the customers it parses only the new shards, unless a customer was defined twice.
func (c *compiler) load(root document.Root, contents map[string][]byte) error {
	c.changed = make(map[document.ShardKind]bool)
	for _, ref := range root.Shards {
		if err := c.loadShard(ref, contents); err != nil {
			return err
		}
	}
	for digest, previous := range c.previous.shards {
		if _, kept := c.next.shards[digest]; !kept {
			c.changed[previous.ref.Kind] = true
		}
	}
	c.propagateChanges()
	for _, ref := range root.Shards {
		_, kept := c.previous.shards[ref.Digest]
		if !c.changed[ref.Kind] || (kept && ref.Kind == document.ShardCustomers && !c.previous.duplicates) {
			continue
		}
		shard, err := document.ParseShard(ref, c.next.shards[ref.Digest].content)
		if err != nil {
			return err
		}
		c.parsed = append(c.parsed, shard)
	}
	return nil
}

// propagateChanges marks the kinds that must be validated again because another
// kind changed.
func (c *compiler) propagateChanges() {
	if c.changed[document.ShardServices] {
		c.changed[document.ShardRoutes] = true
	}
	if c.changed[document.ShardTemplates] && c.previous.duplicates {
		c.changed[document.ShardCustomers] = true
	}
}

// loadShard adds a shard from the previous snapshot or from the contents.
func (c *compiler) loadShard(ref document.ShardRef, contents map[string][]byte) error {
	if previous, ok := c.previous.shards[ref.Digest]; ok {
		c.next.shards[ref.Digest] = previous
		return nil
	}
	content, found := contents[ref.Digest]
	if !found {
		return fmt.Errorf("%s shard %s is lacking", ref.Kind, ref.Digest)
	}
	c.next.shards[ref.Digest] = &publishedShard{ref: ref, content: content}
	c.changed[ref.Kind] = true
	return nil
}

func (c *compiler) reject(kind document.ShardKind, name string, reason error, keptLastGood bool) {
	path := fmt.Sprintf("%s[%s]", kind, name)
	rejection := Rejection{Path: path, Reason: reason.Error(), KeptLastGood: keptLastGood}
	c.next.rejected[kind] = append(c.next.rejected[kind], rejection)
}
