package document

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"
)

func validRoot() Root {
	content := []byte(`{"routes":[]}`)
	return Root{Generation: 3, Shards: []ShardRef{{Kind: ShardRoutes, Digest: Digest(content), Size: len(content)}}}
}

func TestParseRootRejectsMalformedRoots(t *testing.T) {
	cases := map[string]func(*Root){
		"generation 0":  func(r *Root) { r.Generation = 0 },
		"unknown kind":  func(r *Root) { r.Shards[0].Kind = "secrets" },
		"no digest":     func(r *Root) { r.Shards[0].Digest = "abc" },
		"size 0":        func(r *Root) { r.Shards[0].Size = 0 },
		"size too big":  func(r *Root) { r.Shards[0].Size = MaxValueBytes + 1 },
		"shard twice":   func(r *Root) { r.Shards = append(r.Shards, r.Shards[0]) },
		"total too big": func(r *Root) { r.Shards = manyShards(25) },
		"many shards":   func(r *Root) { r.Shards = make([]ShardRef, MaxShards+1) },
	}
	for name, edit := range cases {
		root := validRoot()
		edit(&root)
		content, _ := json.Marshal(root)
		if _, err := ParseRoot(content); !errors.Is(err, ErrMalformed) {
			t.Errorf("%s: %v, want a malformed value", name, err)
		}
	}
	good, _ := json.Marshal(validRoot())
	if _, err := ParseRoot(good); err != nil {
		t.Errorf("a valid root is rejected: %v", err)
	}
	huge := strings.Repeat(" ", MaxValueBytes) + string(good)
	if _, err := ParseRoot([]byte(huge)); !errors.Is(err, ErrMalformed) {
		t.Errorf("a root above the limit: %v", err)
	}
}

func manyShards(count int) []ShardRef {
	refs := make([]ShardRef, 0, count)
	for i := range count {
		refs = append(refs, ShardRef{Kind: ShardCustomers, Index: i, Digest: Digest([]byte(fmt.Sprint(i))), Size: MaxValueBytes})
	}
	return refs
}

func TestDurationRequiresUnit(t *testing.T) {
	for _, text := range []string{`5`, `"5"`, `"soon"`, `null5`} {
		var duration Duration
		if err := json.Unmarshal([]byte(text), &duration); err == nil {
			t.Errorf("%s is parsed as %v", text, duration.Std())
		}
	}
}

func FuzzParseRoot(f *testing.F) {
	good, _ := json.Marshal(validRoot())
	f.Add(good)
	f.Fuzz(func(t *testing.T, content []byte) {
		root, err := ParseRoot(content)
		if err != nil {
			return
		}
		again, err := json.Marshal(root)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := ParseRoot(again); err != nil {
			t.Fatalf("a root fails after a round trip: %v", err)
		}
	})
}

func FuzzParseShard(f *testing.F) {
	f.Add([]byte(`{"customers":[{"name":"a","template":"t","credential_digests":[]}]}`))
	f.Add([]byte(`{"services":[{"name":"s","deadline":"4s"}]}`))
	f.Fuzz(func(t *testing.T, content []byte) {
		ref := ShardRef{Kind: ShardCustomers, Digest: Digest(content), Size: len(content)}
		shard, err := ParseShard(ref, content)
		if err != nil {
			return
		}
		if _, err := json.Marshal(shard); err != nil {
			t.Fatal(err)
		}
		altered := append([]byte(" "), content...)
		if _, err := ParseShard(ref, altered); err == nil {
			t.Fatal("an altered shard is accepted")
		}
	})
}
