package snapshot

import (
	"bytes"
	"regexp"
	"strings"
	"testing"

	"github.com/primroseloom/primroseloom/config/document"
	"github.com/primroseloom/primroseloom/config/examples"
	"github.com/primroseloom/primroseloom/config/render"
)

// withOddText returns the next root of a deployment in which a text of the services' shard is
// replaced, and its shards.
func withOddText(t *testing.T, old *regexp.Regexp, replacement string) (document.Root, map[string][]byte) {
	t.Helper()
	root, shards, err := render.Render(examples.SoojaVee(), 2)
	if err != nil {
		t.Fatal(err)
	}
	for i, ref := range root.Shards {
		found := old.FindIndex(shards[ref.Digest])
		if ref.Kind != document.ShardServices || found == nil {
			continue
		}
		content := shards[ref.Digest]
		odd := bytes.Join([][]byte{content[:found[0]], []byte(replacement), content[found[1]:]}, nil)
		digest := document.Digest(odd)
		root.Shards[i].Digest, root.Shards[i].Size, shards[digest] = digest, len(odd), odd
		return root, shards
	}
	t.Fatalf("no shard holds %v", old)
	return document.Root{}, nil
}

// TestOddTargetOrNumberKeepsTheLastGoodConfiguration guards against a published service that
// ends the VMs which compile it, or that takes other services down.
func TestOddTargetOrNumberKeepsTheLastGoodConfiguration(t *testing.T) {
	good := compile(t, examples.SoojaVee(), 1, nil)
	address, slots := regexp.MustCompile(`"address":"[^"]*"`), regexp.MustCompile(`"slots":[0-9]+`)
	nested := strings.Repeat("[", 100_000) + strings.Repeat("]", 100_000)
	for _, c := range []struct {
		name        string
		old         *regexp.Regexp
		replacement string
	}{
		{"port 0", address, `"address":"10.0.0.1:0"`},
		{"port 65536", address, `"address":"10.0.0.1:65536"`},
		{"port beyond 64 bits", address, `"address":"10.0.0.1:99999999999999999999"`},
		{"no address", address, `"address":""`},
		{"address of another type", address, `"address":{"port":1}`},
		{"long address", address, `"address":"` + strings.Repeat("x", 500_000) + `"`},
		{"slots of the largest integer", slots, `"slots":9223372036854775807`},
		{"negative slots", slots, `"slots":-9223372036854775808`},
		{"slots beyond 64 bits", slots, `"slots":1e400`},
		{"fractional slots", slots, `"slots":1.5`},
		{"connections of the largest integer", regexp.MustCompile(`"max_connections":[0-9]+`), `"max_connections":9223372036854775807`},
		{"negative floor", regexp.MustCompile(`"floor_slots":[0-9]+`), `"floor_slots":-1`},
		{"deadline beyond 64 bits", regexp.MustCompile(`"deadline":"[^"]*"`), `"deadline":"99999999999h"`},
		{"negative deadline", regexp.MustCompile(`"deadline":"[^"]*"`), `"deadline":"-1s"`},
		{"nested 100,000 deep", slots, `"extra":` + nested + `,"slots":3`},
	} {
		root, shards := withOddText(t, c.old, c.replacement)
		snap, err := Compile(root, "", shards, good)
		if err != nil {
			continue // the previous snapshot stays in force
		}
		for _, service := range good.Services() {
			now, ok := snap.Service(service.Name)
			if !ok || now.Slots != service.Slots || len(now.Targets) != len(service.Targets) || now.Targets[0].Address != service.Targets[0].Address {
				t.Errorf("%s: service %s is %.300v", c.name, service.Name, now)
			}
		}
		if snap.RejectedCount() == 0 {
			t.Errorf("%s: nothing is rejected", c.name)
		}
	}
}
