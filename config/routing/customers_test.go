package routing

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
)

func customer(name string, keys ...string) Customer {
	c := Customer{Name: name}
	for _, key := range keys {
		c.Keys = append(c.Keys, DigestKey(key))
	}
	return c
}

func compileWith(t testing.TB, previous *Table, customers ...Customer) *Table {
	t.Helper()
	definition := document(route("root", "a.example", "/"))
	definition.Customers = customers
	table, err := CompileAfter(previous, definition)
	if err != nil {
		t.Fatal(err)
	}
	return table
}

func nameOf(table *Table, key string) string {
	if found, ok := table.Customer(key); ok {
		return found.Name
	}
	return ""
}

func TestCustomerIsFoundByEachOfItsKeys(t *testing.T) {
	table := compileWith(t, nil, customer("a", "k1", "k2"), customer("b", "k3"))
	for key, want := range map[string]string{"k1": "a", "k2": "a", "k3": "b", "k4": "", "": "", "K1": ""} {
		if got := nameOf(table, key); got != want {
			t.Errorf("key %q: customer %q, want %q", key, got, want)
		}
	}
}

// TestNoCustomersAndNoneListedDiffer guards against an empty list of customers that lets
// everybody in: only a document without the list asks for no key.
func TestNoCustomersAndNoneListedDiffer(t *testing.T) {
	if compileWith(t, nil).HasCustomers() {
		t.Error("a document without customers asks for keys")
	}
	empty := document(route("root", "a.example", "/"))
	empty.Customers = []Customer{}
	table, err := Compile(empty)
	if err != nil || !table.HasCustomers() {
		t.Errorf("an empty list of customers asks for no key (%v)", err)
	}
}

// TestInvalidCustomerLeavesTheOthersInForce guards against one bad customer that takes all
// others down, or one that another customer's key lets in.
func TestInvalidCustomerLeavesTheOthersInForce(t *testing.T) {
	negative := customer("bad", "k2")
	negative.Rate = -1
	for name, bad := range map[string]Customer{
		"no name":           customer("", "k2"),
		"empty key":         customer("bad", "k2", ""),
		"name twice":        customer("a", "k2"),
		"another's key":     customer("bad", "k2", "k1"),
		"its own key twice": customer("bad", "k2", "k2"),
		"negative rate":     negative,
	} {
		table := compileWith(t, nil, customer("a", "k1"), bad, customer("c", "k3"))
		if name == "its own key twice" {
			if got := nameOf(table, "k2"); got != "bad" || len(table.Problems()) != 0 {
				t.Errorf("%s: customer %q, problems %v", name, got, table.Problems())
			}
			continue
		}
		if got := nameOf(table, "k1") + nameOf(table, "k2") + nameOf(table, "k3"); got != "ac" {
			t.Errorf("%s: found %q, want a and c only", name, got)
		}
		if len(table.Problems()) != 1 {
			t.Errorf("%s: problems %v", name, table.Problems())
		}
	}
}

// TestInvalidCustomerKeepsItsPreviousDefinition guards against a mistake in a new version that
// locks a customer out, and against one that brings a withdrawn key back.
func TestInvalidCustomerKeepsItsPreviousDefinition(t *testing.T) {
	good := customer("a", "k1", "k2")
	good.Rate, good.Burst = 10, 20
	bad := customer("a", "k2", "k9")
	bad.Rate = -1
	table := compileWith(t, compileWith(t, nil, good), bad)
	found, ok := table.Customer("k2")
	if !ok || found.Rate != 10 || found.Burst != 20 {
		t.Errorf("found %v, %+v", ok, found)
	}
	if nameOf(table, "k1") != "" || nameOf(table, "k9") != "" {
		t.Error("a withdrawn key, or one of the invalid definition, is valid")
	}
	if len(table.Problems()) != 1 || !strings.Contains(table.Problems()[0].Reason, "previous definition") {
		t.Errorf("problems %v", table.Problems())
	}
}

const (
	manyCustomers   = 38_000
	keysPerCustomer = 2
	// maxCustomerBytes is the most memory that many customers may take.
	maxCustomerBytes = 10 << 20
)

func manyKeys() []Customer {
	customers := make([]Customer, manyCustomers)
	for i := range customers {
		customers[i] = customer(fmt.Sprintf("customer-%d", i), fmt.Sprintf("first-key-%d", i), fmt.Sprintf("second-key-%d", i))
	}
	return customers
}

// TestManyCustomersFitIntoMemory guards against tables that a small VM has no room for.
func TestManyCustomersFitIntoMemory(t *testing.T) {
	definitions := manyKeys()
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	table := compileWith(t, nil, definitions...)
	runtime.GC()
	runtime.ReadMemStats(&after)
	if bytes := int64(after.HeapAlloc) - int64(before.HeapAlloc); bytes > maxCustomerBytes {
		t.Errorf("%d customers take %d bytes", manyCustomers, bytes)
	}
	runtime.KeepAlive(table)
	runtime.KeepAlive(definitions)
}

func BenchmarkCustomer(b *testing.B) {
	table := compileWith(b, nil, manyKeys()...)
	keys := make([]string, 1024)
	for i := range keys {
		keys[i] = fmt.Sprintf("second-key-%d", i*37)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		if _, ok := table.Customer(keys[i%len(keys)]); !ok {
			b.Fatal("not found")
		}
	}
}
