// Package config maintains the configuration snapshot in force.
//
// The manager learns of roots in three ways: a reader watches the platform,
// every instance keeps long polls open to its parents, and an instance queries
// a member whose membership statement carries a newer generation. Each root
// goes through the decider of policy/generation, which accepts a root only when
// it comes after the one in force. One goroutine puts roots in force: it
// fetches the shards that the current snapshot lacks, compiles a new snapshot
// and swaps one atomic pointer. Meanwhile a newer root replaces the one that
// waits, so changes never queue up.
//
// A VM serves to its peers only the root and shards that it has in force, and a
// peer verifies every shard by its digest. When neither the platform nor a
// peer responds, the configuration in force stays.
package config
