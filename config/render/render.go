// Package render turns a deployment into the values that are published.
//
// The definitions of each kind are hashed into shards by name, or for routes by
// host and path prefix. The number of shards of a kind is a power of two that
// follows from the size of the kind, so that a change of one customer rewrites
// one shard of some tens of kilobytes and the root, which lists all shards. The
// output depends on the deployment and the generation alone.
package render

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/primroseloom/primroseloom/config/document"
)

// meanShardBytes is the mean shard size that the shard count aims at.
const meanShardBytes = 32 << 10

// SizeError reports a value that is larger than the platform can store.
type SizeError struct {
	// Value names the value, such as "services shard 3".
	Value string
	// Size and Limit are in bytes.
	Size  int
	Limit int
}

// Error describes the value and its sizes.
func (e *SizeError) Error() string {
	return fmt.Sprintf("%s: %d bytes, at most %d", e.Value, e.Size, e.Limit)
}

// Render returns the root and the content of each shard by digest.
func Render(deployment document.Deployment, generation uint64) (document.Root, map[string][]byte, error) {
	output := &output{
		root:   document.Root{Generation: generation},
		shards: make(map[string][]byte),
	}
	renderers := []func(document.Deployment) error{
		output.services, output.routes, output.templates, output.customers,
	}
	for _, renderKind := range renderers {
		if err := renderKind(deployment); err != nil {
			return document.Root{}, nil, err
		}
	}
	if err := output.checkSize(); err != nil {
		return document.Root{}, nil, err
	}
	return output.root, output.shards, nil
}

type output struct {
	root   document.Root
	shards map[string][]byte
	total  int
}

func (o *output) services(deployment document.Deployment) error {
	key := func(service document.Service) string { return service.Name }
	toShard := func(items []document.Service) document.Shard { return document.Shard{Services: items} }
	return splitIntoShards(o, document.ShardServices, deployment.Services, key, toShard)
}

func (o *output) routes(deployment document.Deployment) error {
	key := func(route document.Route) string { return route.Host + route.PathPrefix }
	toShard := func(items []document.Route) document.Shard { return document.Shard{Routes: items} }
	return splitIntoShards(o, document.ShardRoutes, deployment.Routes, key, toShard)
}

func (o *output) templates(deployment document.Deployment) error {
	key := func(template document.Template) string { return template.Name }
	toShard := func(items []document.Template) document.Shard { return document.Shard{Templates: items} }
	return splitIntoShards(o, document.ShardTemplates, deployment.Templates, key, toShard)
}

func (o *output) customers(deployment document.Deployment) error {
	key := func(customer document.Customer) string { return customer.Name }
	toShard := func(items []document.Customer) document.Shard { return document.Shard{Customers: items} }
	return splitIntoShards(o, document.ShardCustomers, deployment.Customers, key, toShard)
}

// splitIntoShards hashes the items of one kind into shards and adds these to the output.
func splitIntoShards[T any](o *output, kind document.ShardKind, items []T, key func(T) string, toShard func([]T) document.Shard) error {
	content, err := json.Marshal(items)
	if err != nil {
		return fmt.Errorf("render %s: %w", kind, err)
	}
	count := shardCount(len(content))
	groups := make([][]T, count)
	for _, item := range items {
		index := xxhash.Sum64String(key(item)) % uint64(count)
		groups[index] = append(groups[index], item)
	}
	byKey := func(a, b T) int { return cmp.Compare(key(a), key(b)) }
	for index, group := range groups {
		if len(group) == 0 {
			continue
		}
		slices.SortStableFunc(group, byKey)
		if err := o.add(kind, index, toShard(group)); err != nil {
			return err
		}
	}
	return nil
}

// shardCount returns the smallest power of two that keeps the mean shard size at
// most meanShardBytes, up to an eighth of document.MaxShards.
func shardCount(bytes int) int {
	count := 1
	for count*meanShardBytes < bytes && count < document.MaxShards/8 {
		count *= 2
	}
	return count
}

func (o *output) add(kind document.ShardKind, index int, shard document.Shard) error {
	content, err := json.Marshal(shard)
	if err != nil {
		return fmt.Errorf("render %s shard %d: %w", kind, index, err)
	}
	if len(content) > document.MaxValueBytes {
		name := fmt.Sprintf("%s shard %d", kind, index)
		return &SizeError{Value: name, Size: len(content), Limit: document.MaxValueBytes}
	}
	digest := document.Digest(content)
	ref := document.ShardRef{Kind: kind, Index: index, Digest: digest, Size: len(content)}
	o.root.Shards = append(o.root.Shards, ref)
	o.shards[digest] = content
	o.total += len(content)
	return nil
}

func (o *output) checkSize() error {
	content, err := json.Marshal(o.root)
	if err != nil {
		return fmt.Errorf("render root: %w", err)
	}
	if len(content) > document.MaxValueBytes {
		return &SizeError{Value: "root", Size: len(content), Limit: document.MaxValueBytes}
	}
	if o.total > document.MaxTotalBytes {
		return &SizeError{Value: "all shards", Size: o.total, Limit: document.MaxTotalBytes}
	}
	return nil
}
