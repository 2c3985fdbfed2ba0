// Package snapshot compiles the published shards into an immutable index for
// request lookups.
//
// A snapshot is built from the previous one. A shard whose digest has
// not changed is reused, so a change of one customer costs the work of one
// shard. Customers and credentials are stored in tables of many small buckets; a new snapshot copies only the buckets that it changes and shares
// the others with the previous snapshot.
//
// Each definition is validated separately. An invalid definition is listed in
// Rejections with its reason. If the previous snapshot has a valid definition
// of the same name, that one stays in force; otherwise the
// definition is left out. A customer that keeps its last good limits still
// gets its new credentials, so that revoking a credential takes effect. A
// credential that two customers list belongs to the one that had it first.
package snapshot
