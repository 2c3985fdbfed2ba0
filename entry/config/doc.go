// Package config keeps the configuration snapshot in force.
//
// The manager hears of roots in three ways: a reader watches the platform,
// every instance holds long polls to its parents, and a member whose
// membership statement carries a newer generation is asked directly. Each root
// goes through the decider of policy/generation, which takes a root only when
// it comes after the one in force. One goroutine puts roots in force: it
// fetches the shards that the present snapshot lacks, compiles, and swaps one
// atomic pointer. While it works, newer roots replace one another in a place
// for one, so changes never queue up.
//
// A VM serves to its peers only what it has in force, root and shards, and a
// peer verifies every shard by its digest. When neither the platform nor a
// peer answers, the configuration in force stays as it is.
package config
