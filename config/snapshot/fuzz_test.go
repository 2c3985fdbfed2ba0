package snapshot

import (
	"testing"

	"github.com/primroseloom/primroseloom/config/document"
	"github.com/primroseloom/primroseloom/config/examples"
	"github.com/primroseloom/primroseloom/config/render"
)

// FuzzCompile replaces each shard of a valid root by arbitrary content and
// compiles it on top of a good snapshot.
func FuzzCompile(f *testing.F) {
	root, shards, err := render.Render(examples.SoojaVee(), 1)
	if err != nil {
		f.Fatal(err)
	}
	good, err := Compile(root, "", shards, nil)
	if err != nil {
		f.Fatal(err)
	}
	for _, content := range shards {
		f.Add(content)
	}
	f.Fuzz(func(t *testing.T, content []byte) {
		for i, ref := range root.Shards {
			next := document.Root{Generation: 2, Shards: append([]document.ShardRef(nil), root.Shards...)}
			digest := document.Digest(content)
			next.Shards[i] = document.ShardRef{Kind: ref.Kind, Index: ref.Index, Digest: digest, Size: len(content)}
			snap, err := Compile(next, "", map[string][]byte{digest: content}, good)
			if err != nil {
				continue
			}
			for _, service := range snap.Services() {
				if service.Slots < 1 || len(service.Targets) == 0 {
					t.Fatalf("service %q without slots or targets is in force", service.Name)
				}
			}
			for _, bucket := range snap.byCredential.buckets {
				for _, owner := range bucket {
					if current, ok := snap.Customer(owner.Name); !ok || current != owner {
						t.Fatalf("a credential belongs to %q, which is not in force", owner.Name)
					}
				}
			}
		}
	})
}
