package routing

import (
	"crypto/sha256"
	"fmt"
	"iter"
	"maps"
	"slices"
)

// KeyDigest is the SHA-256 digest of a customer's key.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest by which a key is known.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// Customer is one party whose callers authenticate with keys.
type Customer struct {
	Name string
	// Keys holds the digests of the keys of its callers.
	Keys []KeyDigest
	// Priority replaces the priority of the routes when HasPriority is true; 0 is served first.
	Priority    int
	HasPriority bool
	// Rate is in requests a second, Burst in requests, for all VMs together. A Rate of zero
	// means no limit.
	Rate, Burst float64
}

// IsLimited reports whether the customer's requests are limited.
func (c *Customer) IsLimited() bool { return c.Rate > 0 }

// customers finds customers by key or name. It is immutable.
type customers struct {
	byKey  map[KeyDigest]*Customer
	byName map[string]*Customer
}

// compileCustomers returns the customers of a document, and the problems of those that are
// left out. A customer with an invalid definition keeps its previous one with those keys that
// the new one still lists, since a key that is no longer listed has been withdrawn.
func compileCustomers(definitions []Customer, previous *customers) (*customers, []Problem) {
	if definitions == nil {
		return nil, nil
	}
	c := &customers{byKey: make(map[KeyDigest]*Customer, 2*len(definitions)), byName: make(map[string]*Customer, len(definitions))}
	var problems []Problem
	for i := range definitions {
		definition := &definitions[i]
		err := c.add(definition)
		if err == nil {
			continue
		}
		problem := Problem{Path: fmt.Sprintf("customers[%s]", definition.Name), Reason: err.Error() + ": left out"}
		if last := previous.lastGood(definition); last != nil && c.add(last) == nil {
			problem.Reason = err.Error() + ": its previous definition stays in force"
		}
		problems = append(problems, problem)
	}
	return c, problems
}

// add adds a customer whose definition is valid.
func (c *customers) add(customer *Customer) error {
	if err := c.validate(customer); err != nil {
		return err
	}
	c.byName[customer.Name] = customer
	for _, key := range customer.Keys {
		c.byKey[key] = customer
	}
	return nil
}

// validate returns an error for a customer that cannot be served beside those added before.
func (c *customers) validate(customer *Customer) error {
	if customer.Name == "" {
		return fmt.Errorf("the name is missing")
	}
	if _, ok := c.byName[customer.Name]; ok {
		return fmt.Errorf("an earlier customer has the same name")
	}
	if !(customer.Rate >= 0) || !(customer.Burst >= 0) {
		return fmt.Errorf("rate %v or burst %v is negative", customer.Rate, customer.Burst)
	}
	for _, key := range customer.Keys {
		if key == DigestKey("") {
			return fmt.Errorf("a key is empty")
		}
		if _, ok := c.byKey[key]; ok {
			return fmt.Errorf("an earlier customer has the same key")
		}
	}
	return nil
}

// lastGood returns the previous definition of a customer with the keys that its new
// definition still lists, or nil.
func (c *customers) lastGood(definition *Customer) *Customer {
	if c == nil {
		return nil
	}
	known, ok := c.byName[definition.Name]
	if !ok {
		return nil
	}
	last := *known
	last.Keys = nil
	for _, key := range known.Keys {
		if slices.Contains(definition.Keys, key) {
			last.Keys = append(last.Keys, key)
		}
	}
	return &last
}

// HasCustomers reports whether callers need a key on routes that are not public.
func (t *Table) HasCustomers() bool { return t.customers != nil }

// Customer returns the customer that a caller's key belongs to.
func (t *Table) Customer(key string) (*Customer, bool) {
	if t.customers == nil || key == "" {
		return nil, false
	}
	customer, ok := t.customers.byKey[DigestKey(key)]
	return customer, ok
}

// CustomerByName returns a customer by name.
func (t *Table) CustomerByName(name string) (*Customer, bool) {
	if t.customers == nil {
		return nil, false
	}
	customer, ok := t.customers.byName[name]
	return customer, ok
}

// Customers returns all customers, in no order.
func (t *Table) Customers() iter.Seq[*Customer] {
	if t.customers == nil {
		return func(func(*Customer) bool) {}
	}
	return maps.Values(t.customers.byName)
}

// CustomerCount returns the number of customers.
func (t *Table) CustomerCount() int {
	if t.customers == nil {
		return 0
	}
	return len(t.customers.byName)
}
