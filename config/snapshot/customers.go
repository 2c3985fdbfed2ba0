package snapshot

import (
	"cmp"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"

	"github.com/primroseloom/primroseloom/config/check"
	"github.com/primroseloom/primroseloom/config/document"
	"github.com/primroseloom/primroseloom/config/template"
)

var (
	errUnknownTemplate   = errors.New("names a template that does not exist")
	errCredentialInUse   = errors.New("a credential belongs to another customer")
	errInvalidCredential = errors.New("a credential digest is no SHA-256 in hex")
)

// compiledTemplate is a template with its digest and its set of services.
type compiledTemplate struct {
	document.Template
	digest   string
	services map[string]bool
}

// compileTemplates adds each template; its limits are validated with each customer.
func (c *compiler) compileTemplates() {
	if !c.changed[document.ShardTemplates] {
		c.next.templates = c.previous.templates
		c.next.rejected[document.ShardTemplates] = c.previous.rejected[document.ShardTemplates]
		return
	}
	for _, shard := range c.parsed {
		for _, definition := range shard.Templates {
			c.addTemplate(definition)
		}
	}
}

func (c *compiler) addTemplate(definition document.Template) {
	if _, ok := c.next.templates[definition.Name]; ok {
		c.reject(document.ShardTemplates, definition.Name, errDuplicate, false)
		return
	}
	compiled := compileTemplate(definition)
	if last, ok := c.previous.templates[definition.Name]; ok && last.digest == compiled.digest {
		compiled = last
	}
	c.next.templates[definition.Name] = compiled
}

func compileTemplate(definition document.Template) *compiledTemplate {
	content, err := json.Marshal(definition)
	if err != nil {
		content = nil
	}
	services := make(map[string]bool, len(definition.Services))
	for _, service := range definition.Services {
		services[service] = true
	}
	return &compiledTemplate{Template: definition, digest: document.Digest(content), services: services}
}

// compileCustomers applies the customers that differ from the previous snapshot.
func (c *compiler) compileCustomers() error {
	if !c.changed[document.ShardCustomers] && !c.changed[document.ShardTemplates] {
		c.reuseCustomers()
		return nil
	}
	removed, err := c.namesInRemovedShards()
	if err != nil {
		return err
	}
	definitions, err := c.changedCustomers(removed)
	if err != nil {
		return err
	}
	edit := &customerEdit{
		compiler:     c,
		customers:    c.previous.customers.edit(),
		byCredential: c.previous.byCredential.edit(),
		applied:      make(map[string]bool, len(definitions)),
		removed:      removed,
	}
	edit.releaseRemoved(removed, definitions)
	for _, definition := range definitions {
		edit.apply(definition)
	}
	c.next.customers = edit.customers.next
	c.next.byCredential = edit.byCredential.next
	return nil
}

func (c *compiler) reuseCustomers() {
	c.next.customers = c.previous.customers
	c.next.byCredential = c.previous.byCredential
	c.next.rejectedCustomers = c.previous.rejectedCustomers
	c.next.duplicates = c.previous.duplicates
	c.next.rejected[document.ShardCustomers] = c.previous.rejected[document.ShardCustomers]
}

// namesInRemovedShards returns the customers of previous shards that are not in
// the new root. When all customers are rebuilt, it returns those of all
// previous shards.
func (c *compiler) namesInRemovedShards() (map[string]bool, error) {
	removed := make(map[string]bool)
	for digest, previous := range c.previous.shards {
		_, kept := c.next.shards[digest]
		if previous.ref.Kind != document.ShardCustomers || (kept && !c.mustRebuildCustomers()) {
			continue
		}
		shard, err := document.ParseShard(previous.ref, previous.content)
		if err != nil {
			return nil, err
		}
		for _, customer := range shard.Customers {
			removed[customer.Name] = true
		}
	}
	return removed, nil
}

// changedCustomers returns, in order of name, the customers of new shards,
// those whose template changed and those rejected before.
func (c *compiler) changedCustomers(removed map[string]bool) ([]document.Customer, error) {
	var definitions []document.Customer
	for _, shard := range c.parsed {
		definitions = append(definitions, shard.Customers...)
	}
	if c.mustRebuildCustomers() {
		return sortByName(definitions), nil
	}
	if c.templatesChanged() {
		affected, err := c.customersOfChangedTemplates()
		if err != nil {
			return nil, err
		}
		definitions = append(definitions, affected...)
	} else {
		for name, definition := range c.previous.rejectedCustomers {
			if !removed[name] {
				definitions = append(definitions, definition)
			}
		}
	}
	return sortByName(definitions), nil
}

// mustRebuildCustomers reports whether all customers must be applied again. A name
// that two shards define cannot be tracked shard by shard.
func (c *compiler) mustRebuildCustomers() bool {
	return c.previous.duplicates && c.changed[document.ShardCustomers]
}

func sortByName(definitions []document.Customer) []document.Customer {
	byName := func(a, b document.Customer) int { return cmp.Compare(a.Name, b.Name) }
	slices.SortStableFunc(definitions, byName)
	return definitions
}

func (c *compiler) templatesChanged() bool {
	return !maps.Equal(c.previous.templates, c.next.templates)
}

func (c *compiler) customersOfChangedTemplates() ([]document.Customer, error) {
	var affected []document.Customer
	for digest, current := range c.next.shards {
		_, kept := c.previous.shards[digest]
		if !kept || current.ref.Kind != document.ShardCustomers {
			continue
		}
		shard, err := document.ParseShard(current.ref, current.content)
		if err != nil {
			return nil, err
		}
		for _, customer := range shard.Customers {
			_, refused := c.previous.rejectedCustomers[customer.Name]
			if refused || c.previous.templates[customer.Template] != c.next.templates[customer.Template] {
				affected = append(affected, customer)
			}
		}
	}
	return affected, nil
}

// customerEdit changes the tables of customers and credentials.
type customerEdit struct {
	compiler     *compiler
	customers    *tableEditor[string, *Customer]
	byCredential *tableEditor[credentialDigest, *Customer]
	applied      map[string]bool
	removed      map[string]bool
}

// releaseRemoved removes the customers that are gone, and the credentials that are
// no longer in their customers' definitions, so that others may use them.
func (e *customerEdit) releaseRemoved(removed map[string]bool, definitions []document.Customer) {
	byName := make(map[string]document.Customer, len(definitions))
	for _, definition := range definitions {
		byName[definition.Name] = definition
	}
	for name := range removed {
		customer, exists := e.customers.get(name)
		definition, defined := byName[name]
		if !exists {
			continue
		}
		keep, err := parseCredentialDigests(definition.CredentialDigests)
		if !defined || err == nil {
			e.revoke(customer, keep)
		}
		if !defined {
			e.customers.remove(name)
		}
	}
}

// revoke frees the credentials of a customer that are not among those kept.
func (e *customerEdit) revoke(customer *Customer, keep []credentialDigest) {
	for _, key := range customer.credentialDigests {
		owner, ok := e.byCredential.get(key)
		if ok && owner.Name == customer.Name && !slices.Contains(keep, key) {
			e.byCredential.remove(key)
		}
	}
}

// apply validates a definition and puts it in force, or records its rejection.
func (e *customerEdit) apply(definition document.Customer) {
	last, exists := e.customers.get(definition.Name)
	if e.applied[definition.Name] || e.definedInOtherShard(definition.Name, exists) {
		e.compiler.next.duplicates = true
		e.compiler.reject(document.ShardCustomers, definition.Name, errDuplicate, exists)
		return
	}
	e.applied[definition.Name] = true
	credentialDigests, credentialErr := e.checkCredentials(definition)
	customer, limitsErr := e.resolve(definition)
	err := errors.Join(limitsErr, credentialErr)
	if err != nil {
		e.compiler.next.rejectedCustomers[definition.Name] = definition
		e.compiler.reject(document.ShardCustomers, definition.Name, err, exists)
		if !exists {
			return
		}
		kept := *last
		customer = &kept
	}
	customer.credentialDigests = credentialDigests
	if credentialErr != nil {
		customer.credentialDigests = e.ownedCredentialDigests(last, customer)
	}
	e.install(last, customer)
}

// definedInOtherShard reports whether an unchanged shard defines the name too. It
// is always false when templates changed, because customers of unchanged shards may
// then be applied again.
func (e *customerEdit) definedInOtherShard(name string, exists bool) bool {
	if !exists || e.removed[name] {
		return false
	}
	if _, refused := e.compiler.previous.rejectedCustomers[name]; refused {
		return false
	}
	return !e.compiler.templatesChanged()
}

func (e *customerEdit) ownedCredentialDigests(last, customer *Customer) []credentialDigest {
	owned := make([]credentialDigest, 0)
	if last == nil {
		return owned
	}
	for _, key := range last.credentialDigests {
		owner, ok := e.byCredential.get(key)
		if ok && owner.Name == customer.Name {
			owned = append(owned, key)
		}
	}
	return owned
}

// install puts a customer in force. If it equals the last one, the pointer stays the same.
func (e *customerEdit) install(last, customer *Customer) {
	if last != nil && equalCustomers(last, customer) {
		customer = last
	}
	if last != customer {
		e.customers.set(customer.Name, customer)
	}
	for _, key := range customer.credentialDigests {
		if owner, ok := e.byCredential.get(key); !ok || owner != customer {
			e.byCredential.set(key, customer)
		}
	}
}

func equalCustomers(a, b *Customer) bool {
	return a.Template == b.Template && a.Limits == b.Limits &&
		maps.Equal(a.Services, b.Services) && slices.Equal(a.credentialDigests, b.credentialDigests)
}

// resolve validates a customer and resolves its limits.
func (e *customerEdit) resolve(definition document.Customer) (*Customer, error) {
	compiled, ok := e.compiler.next.templates[definition.Template]
	if !ok {
		return nil, fmt.Errorf("%w: %s", errUnknownTemplate, definition.Template)
	}
	if err := joinProblems(check.Customer(definition)); err != nil {
		return nil, err
	}
	limits, problems := template.Resolve(definition, compiled.Template)
	if len(problems) > 0 {
		return nil, template.JoinProblems(problems)
	}
	customer := &Customer{Name: definition.Name, Template: compiled.Name, Limits: limits, Services: compiled.services}
	return customer, nil
}

// checkCredentials parses the digests of a definition. None may belong to another
// customer.
func (e *customerEdit) checkCredentials(definition document.Customer) ([]credentialDigest, error) {
	keys, err := parseCredentialDigests(definition.CredentialDigests)
	if err != nil {
		return nil, err
	}
	for _, key := range keys {
		if owner, ok := e.byCredential.get(key); ok && owner.Name != definition.Name {
			return nil, fmt.Errorf("%w: %s", errCredentialInUse, owner.Name)
		}
	}
	return keys, nil
}

func parseCredentialDigests(digests []string) ([]credentialDigest, error) {
	keys := make([]credentialDigest, 0, len(digests))
	for _, digest := range digests {
		var key credentialDigest
		if len(digest) != hex.EncodedLen(len(key)) {
			return nil, errInvalidCredential
		}
		if _, err := hex.Decode(key[:], []byte(digest)); err != nil {
			return nil, errInvalidCredential
		}
		keys = append(keys, key)
	}
	return keys, nil
}
