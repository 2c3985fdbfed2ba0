package snapshot

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"github.com/primroseloom/primroseloom/config/document"
	"github.com/primroseloom/primroseloom/config/examples"
	"github.com/primroseloom/primroseloom/config/generate"
	"github.com/primroseloom/primroseloom/config/render"
)

func compile(t testing.TB, deployment document.Deployment, generation uint64, previous *Snapshot) *Snapshot {
	t.Helper()
	root, shards, err := render.Render(deployment, generation)
	if err != nil {
		t.Fatal(err)
	}
	snap, err := Compile(root, "", shards, previous)
	if err != nil {
		t.Fatal(err)
	}
	return snap
}

func TestLookups(t *testing.T) {
	snap := compile(t, examples.SoojaVee(), 1, nil)
	routes := []struct{ host, path, service string }{
		{"www.soojavee.example", "/rooms", "booking"},
		{"WWW.soojavee.example:8080", "/visits/1", "records"},
		{"other.example", "/", ""},
		{"[::1]:80", "/", ""},
	}
	for _, test := range routes {
		if route, _ := snap.Route(test.host, test.path); route.Service != test.service {
			t.Errorf("route of %s%s is %q, want %q", test.host, test.path, route.Service, test.service)
		}
	}
	customer, ok := snap.Identify(examples.Credential("spa-haapsalu"))
	if !ok || customer.Name != "spa-haapsalu" || customer.Limits.Rate != 20 {
		t.Errorf("credential names %+v", customer)
	}
	if _, ok := snap.Identify("example-nobody"); ok {
		t.Error("an unknown credential is accepted")
	}
	if service, ok := snap.Service("records"); !ok || len(service.Targets) != 6 {
		t.Error("service records is missing or incomplete")
	}
}

func TestBadCustomerKeepsLastGoodAndLosesItsRevokedCredential(t *testing.T) {
	good := compile(t, examples.SoojaVee(), 1, nil)
	deployment := examples.SoojaVee()
	bad := &deployment.Customers[1]
	bad.Parameters = map[string]json.RawMessage{"rate": json.RawMessage("9999")}
	bad.CredentialDigests = []string{document.Digest([]byte("new"))}
	for _, previous := range []*Snapshot{good, compile(t, deployment, 2, good)} {
		snap := compile(t, deployment, previous.Generation+1, previous)
		customer, ok := snap.Identify("new")
		if !ok || customer.Limits.Rate != 20 {
			t.Fatalf("customer %+v, want the last good rate 20", customer)
		}
		if _, ok := snap.Identify(examples.Credential(bad.Name)); ok {
			t.Fatal("the revoked credential is accepted")
		}
		rejections := snap.Rejections()
		if len(rejections) != 1 || !rejections[0].KeptLastGood || rejections[0].Path != "customers[spa-haapsalu]" {
			t.Fatalf("rejections %+v", rejections)
		}
		if !strings.Contains(rejections[0].Reason, "at most 50") {
			t.Fatalf("reason %q does not say which values are allowed", rejections[0].Reason)
		}
	}
	if fresh := compile(t, deployment, 2, nil); fresh.CustomerCount() != good.CustomerCount()-1 {
		t.Fatal("an invalid customer without a last good definition is not left out")
	}
}

func TestBadServiceKeepsLastGoodAndRoutesFollowServices(t *testing.T) {
	good := compile(t, examples.SoojaVee(), 1, nil)
	deployment := examples.SoojaVee()
	deployment.Services[0].Slots = 0
	deployment.Services = deployment.Services[:1]
	snap := compile(t, deployment, 2, good)
	if service, ok := snap.Service("booking"); !ok || service.Slots != 3 {
		t.Fatal("the last good service is not kept")
	}
	if _, ok := snap.Route("records.soojavee.example", "/"); ok {
		t.Fatal("a route to a service that is gone is in force")
	}
	if snap.RejectedCount() != 3 {
		t.Fatalf("rejections %+v, want the service and two routes", snap.Rejections())
	}
	if again := compile(t, examples.SoojaVee(), 3, snap); again.RejectedCount() != 0 {
		t.Fatalf("rejections %+v after the repair", again.Rejections())
	}
}

func TestCredentialStaysWithItsFirstOwnerUntilReleased(t *testing.T) {
	first := compile(t, examples.SoojaVee(), 1, nil)
	deployment := examples.SoojaVee()
	stolen := deployment.Customers[3].CredentialDigests
	deployment.Customers[1].CredentialDigests = stolen
	second := compile(t, deployment, 2, first)
	owner, _ := second.Identify(examples.Credential(deployment.Customers[3].Name))
	if owner.Name != deployment.Customers[3].Name || second.RejectedCount() != 1 {
		t.Fatalf("credential went to %s, %d rejections", owner.Name, second.RejectedCount())
	}
	deployment.Customers[3].CredentialDigests = []string{document.Digest([]byte("other"))}
	third := compile(t, deployment, 3, second)
	if owner, ok := third.Identify(examples.Credential(deployment.Customers[3].Name)); !ok || owner.Name != deployment.Customers[1].Name {
		t.Fatal("a released credential does not reach its new owner")
	}
}

func TestMissingOrAlteredShardIsAnError(t *testing.T) {
	root, shards, _ := render.Render(examples.Lankaroad(), 1)
	for digest, content := range shards {
		delete(shards, digest)
		if _, err := Compile(root, "", shards, nil); err == nil {
			t.Fatal("a missing shard is not an error")
		}
		altered := slices.Clone(content)
		altered[len(altered)/2] ^= 1
		shards[digest] = altered
		if _, err := Compile(root, "", shards, nil); !errors.Is(err, document.ErrMalformed) {
			t.Fatalf("altered shard: %v", err)
		}
		shards[digest] = content
	}
}

// TestIncrementalCompileEqualsFullCompile changes a deployment at random and
// compares the incremental snapshot with one that is built from scratch.
func TestIncrementalCompileEqualsFullCompile(t *testing.T) {
	random := rand.New(rand.NewPCG(5, 5))
	sizes := generate.Sizes{Services: 6, Targets: 30, Routes: 40, Customers: 600, Templates: 4, Zones: []string{"a", "b"}}
	deployment := generate.Deployment(sizes, 1)
	spare := generate.Deployment(sizes, 2).Customers
	var snap *Snapshot
	for generation := uint64(1); generation <= 60; generation++ {
		at := random.IntN(len(deployment.Customers))
		switch random.IntN(6) {
		case 0:
			deployment.Customers = slices.Delete(deployment.Customers, at, at+1)
		case 1:
			added := spare[random.IntN(len(spare))]
			added.Name = fmt.Sprintf("added-%d", generation)
			added.CredentialDigests = []string{document.Digest([]byte(added.Name))}
			deployment.Customers = append(deployment.Customers, added)
		case 2:
			deployment.Templates[random.IntN(4)].Limits.Queue = json.RawMessage(fmt.Sprint(random.IntN(50)))
		case 3:
			deployment.Services[random.IntN(6)].FloorSlots = random.IntN(9)
		case 4:
			deployment.Routes[random.IntN(40)].Service = deployment.Services[random.IntN(6)].Name
		default:
			deployment.Customers[at].Parameters = map[string]json.RawMessage{"rate": json.RawMessage(fmt.Sprint(1 + random.IntN(99)))}
		}
		snap = compile(t, deployment, generation, snap)
		full := compile(t, deployment, generation, nil)
		if difference := compare(snap, full); difference != "" {
			t.Fatalf("generation %d: %s", generation, difference)
		}
	}
}

func compare(a, b *Snapshot) string {
	if a.CustomerCount() != b.CustomerCount() || a.RejectedCount() != b.RejectedCount() || len(a.shards) != len(b.shards) {
		return "numbers of customers, rejections or shards differ"
	}
	for _, bucket := range b.customers.buckets {
		for name, want := range bucket {
			got, ok := a.Customer(name)
			if !ok || !equalCustomers(got, want) {
				return "customer " + name + " differs"
			}
			for _, key := range want.credentialDigests {
				if owner, ok := a.byCredential.get(key); !ok || owner != got {
					return "credential of " + name + " differs"
				}
			}
		}
	}
	if a.byCredential.size != b.byCredential.size || !slices.EqualFunc(a.Services(), b.Services(), equalJSON) {
		return "credentials or services differ"
	}
	for host, routes := range b.routes {
		if !slices.Equal(a.routes[host], routes) {
			return "routes of " + host + " differ"
		}
	}
	return ""
}

func equalJSON(a, b *document.Service) bool {
	first, _ := json.Marshal(a)
	second, _ := json.Marshal(b)
	return string(first) == string(second)
}
