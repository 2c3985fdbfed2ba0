package config

import "github.com/uber-go/tally/v4"

// counters are the metrics of the configuration.
type counters struct {
	rootCalls, shardCalls, fallbackReads               tally.Counter
	platformFailures, staleReplicas                    tally.Counter
	peerFailures, pollsNotHeld                         tally.Counter
	olderRoots, rootConflicts                          tally.Counter
	malformedRoots, malformedShards                    tally.Counter
	shardsFromPeers, shardsFromPlatform, applyFailures tally.Counter
	generation, rejected                               tally.Gauge
	compileTime                                        tally.Timer
}

func newCounters(scope tally.Scope) *counters {
	if scope == nil {
		scope = tally.NoopScope
	}
	scope = scope.SubScope("config")
	calls := func(purpose string) tally.Counter {
		return scope.Tagged(map[string]string{"purpose": purpose}).Counter("platform_calls")
	}
	shards := func(source string) tally.Counter {
		return scope.Tagged(map[string]string{"source": source}).Counter("shards_fetched")
	}
	return &counters{
		rootCalls:          calls("root"),
		shardCalls:         calls("shard"),
		fallbackReads:      scope.Counter("fallback_reads"),
		platformFailures:   scope.Counter("platform_failures"),
		staleReplicas:      scope.Counter("stale_replica_answers"),
		peerFailures:       scope.Counter("peer_failures"),
		pollsNotHeld:       scope.Counter("polls_not_held"),
		olderRoots:         scope.Counter("older_roots_ignored"),
		rootConflicts:      scope.Counter("root_conflicts"),
		malformedRoots:     scope.Counter("malformed_roots"),
		malformedShards:    scope.Counter("malformed_shards"),
		shardsFromPeers:    shards("peer"),
		shardsFromPlatform: shards("platform"),
		applyFailures:      scope.Counter("apply_failures"),
		generation:         scope.Gauge("generation"),
		rejected:           scope.Gauge("rejected_definitions"),
		compileTime:        scope.Timer("compile_seconds"),
	}
}
