// Package snapshot compiles the published shards into an immutable index that
// requests are looked up in.
//
// A snapshot is built from the snapshot before it. A shard whose digest has
// not changed is taken over as it is, so a change of one customer costs the
// work of one shard. Customers and credentials stand in tables of many small
// buckets; a new snapshot copies only the buckets that it changes and shares
// the others with the snapshot before it.
//
// Each definition is validated by itself. A definition that does not pass is
// listed in Rejections with its reason. When the snapshot before held a good
// definition of the same name, that one stays in force; otherwise the
// definition is left out. A customer that keeps its last good limits still
// gets its new credentials, so that a revoked credential is revoked. A
// credential belongs to the customer that held it first.
package snapshot
