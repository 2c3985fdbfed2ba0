package render

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/primroseloom/primroseloom/config/document"
	"github.com/primroseloom/primroseloom/config/examples"
)

func manyCustomers(count int) document.Deployment {
	deployment := examples.SoojaVee()
	for i := range count {
		customer := deployment.Customers[1]
		customer.Name = fmt.Sprintf("spa-%05d", i)
		customer.CredentialDigests = []string{document.Digest([]byte(customer.Name))}
		deployment.Customers = append(deployment.Customers, customer)
	}
	return deployment
}

func TestRenderIsDeterministicAndReadable(t *testing.T) {
	deployment := manyCustomers(2000)
	root, shards, err := Render(deployment, 7)
	if err != nil {
		t.Fatal(err)
	}
	again, _, _ := Render(deployment, 7)
	first, _ := json.Marshal(root)
	second, _ := json.Marshal(again)
	if string(first) != string(second) {
		t.Fatal("two renderings differ")
	}
	if _, err := document.ParseRoot(first); err != nil {
		t.Fatal(err)
	}
	customers := 0
	for _, ref := range root.Shards {
		shard, err := document.ParseShard(ref, shards[ref.Digest])
		if err != nil {
			t.Fatal(err)
		}
		customers += len(shard.Customers)
	}
	if customers != len(deployment.Customers) {
		t.Fatalf("%d customers rendered, want %d", customers, len(deployment.Customers))
	}
}

func TestChangeOfOneCustomerRewritesOneShard(t *testing.T) {
	deployment := manyCustomers(2000)
	_, before, _ := Render(deployment, 1)
	deployment.Customers[1500].Parameters = map[string]json.RawMessage{"rate": json.RawMessage("17")}
	_, after, _ := Render(deployment, 2)
	changed := 0
	for digest := range after {
		if _, ok := before[digest]; !ok {
			changed++
		}
	}
	if changed != 1 || len(before) < 5 {
		t.Fatalf("%d of %d shards changed, want 1 of several", changed, len(before))
	}
}

func TestRenderRefusesAnOversizedValue(t *testing.T) {
	deployment := examples.SoojaVee()
	for range 20000 {
		deployment.Services[0].Targets = append(deployment.Services[0].Targets, deployment.Services[0].Targets[0])
	}
	_, _, err := Render(deployment, 1)
	var size *SizeError
	if !errors.As(err, &size) || !strings.HasPrefix(size.Value, "services shard") {
		t.Fatalf("got %v, want a size error for a services shard", err)
	}
}
