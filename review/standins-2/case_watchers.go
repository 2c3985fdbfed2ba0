package main

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"
)

func init() { cases["watchers"] = playWatchers }

const (
	// maxCut is the number of daemons that are cut off from the store, of nine: a share of 0.35 at most.
	maxCut = 3
	// cutTime is how long they are cut off.
	cutTime = 8 * time.Second
	// watcherRounds is the number of cuts.
	watcherRounds = 4
)

// changingConfiguration returns a configuration whose unsafe route /book/ goes to bookTo, with one added route.
func changingConfiguration(version int, bookTo, added string) map[string]any {
	route := func(name, prefix, service, kind string) map[string]any {
		return map[string]any{"name": name, "path_prefix": prefix, "service": service, "kind": kind, "timeout_ms": 2500, "target_latency_ms": 600, "max_attempts": 2, "priority": 1}
	}
	service := func(name string) map[string]any {
		return map[string]any{"name": name, "health_path": "/health", "max_connections": 330, "protocol": "h1", "tls": false}
	}
	return map[string]any{
		"version": version, "services": []any{service("booking"), service("records")},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"hosts":  []any{map[string]any{"host": host, "paths": []any{route("r-book", "/book/", bookTo, "unsafe"), route("r-"+added, "/"+added+"/", "booking", "safe")}}},
	}
}

// playWatchers cuts the daemons that watch the store off from it, and then lets the operator change the
// configuration. It counts what the other daemons, which reach the store all the time, handle as only an
// older version allows, later than configApply after the store's confirmation.
func playWatchers(c *testcase) error {
	const network = "127.94.0"
	free, err := freePorts(network+".100", 1)
	if err != nil {
		return err
	}
	s, err := newStore(fmt.Sprintf("%s.100:%d", network, free[0]))
	if err != nil {
		return err
	}
	defer s.close()
	s.put("op/config", changingConfiguration(3, "booking", "added-0"))
	for i := range 12 {
		service := []string{"booking", "records"}[i%2]
		u, err := newUpstream(c.record, fmt.Sprintf("i-%s-%d", service, i), service, network+".101:0", zones[i%len(zones)], 3, 50*time.Millisecond)
		if err != nil {
			return err
		}
		s.put("servers/"+u.id, u.entry("ready"))
	}
	f, err := newFleet(c.dir, network, s.address, append(append(zones, zones...), zones...))
	if err != nil {
		return err
	}
	defer f.end()
	paths := make(map[*vm]*proxy)
	for _, v := range f.vms {
		path, err := newProxy(network+".102:0", s.address)
		if err != nil {
			return err
		}
		defer path.close()
		paths[v], v.settings["store"] = path, path.address()
		if err := v.writeSettings(); err != nil {
			return err
		}
	}
	if err := f.startAll(10 * time.Second); err != nil {
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	q := newRequesters(c.record)
	var streams sync.WaitGroup
	var mu sync.Mutex
	added := "added-0"
	streams.Go(func() {
		q.stream(ctx, 25*time.Millisecond, func(i int) (*vm, request) {
			mu.Lock()
			defer mu.Unlock()
			if i%2 == 0 {
				return f.vms[i/2%len(f.vms)], request{method: "GET", host: host, path: fmt.Sprintf("/%s/%d", added, i), limit: 2 * time.Second}
			}
			return f.vms[i/2%len(f.vms)], request{method: "POST", host: host, path: fmt.Sprintf("/book/%d", i), body: "one booking", limit: 2500 * time.Millisecond}
		})
	})
	time.Sleep(8 * time.Second)
	services := []string{"booking", "records"}
	type change struct {
		at, next        time.Time
		cut             map[string]bool
		added, formerly string
	}
	var changes []change
	for round := range watcherRounds {
		watching := s.watching(2 * time.Second)
		cut := make(map[string]bool)
		var cutPaths []*proxy
		for _, v := range f.vms {
			isWatching := false
			for _, source := range watching {
				isWatching = isWatching || paths[v].carries(source)
			}
			if isWatching && len(cut) < maxCut {
				cut[v.name] = true
				cutPaths = append(cutPaths, paths[v])
			}
		}
		c.record.say("round %d: %d of %d daemons watch the store", round+1, len(cut), len(f.vms))
		if c.trouble {
			for _, path := range cutPaths {
				path.cut()
			}
		}
		time.Sleep(200 * time.Millisecond)
		mu.Lock()
		added = fmt.Sprintf("added-%d", round+1)
		at := s.put("op/config", changingConfiguration(4+2*round, services[(round+1)%2], added))
		mu.Unlock()
		c.record.say("the store confirms version %d: /%s/ is added, /book/ goes to %s", 4+2*round, added, services[(round+1)%2])
		changes = append(changes, change{at: at, cut: cut, added: "/" + added + "/", formerly: "i-" + services[round%2] + "-"})
		time.Sleep(time.Until(at.Add(cutTime)))
		for _, path := range cutPaths {
			path.heal()
		}
		time.Sleep(6 * time.Second)
		changes[round].next = time.Now()
	}
	stop()
	streams.Wait()
	for round, change := range changes {
		last := time.Duration(0)
		missing, old, vms := 0, 0, make(map[string]bool)
		for _, r := range q.byID() {
			since := r.sent.Sub(change.at)
			if since <= configApply || !r.sent.Before(change.next) || c.trouble && change.cut[r.vm] {
				continue
			}
			switch {
			case strings.HasPrefix(r.path, change.added) && r.status == 404:
				missing++
			case strings.HasPrefix(r.path, "/book/") && strings.HasPrefix(r.answer, change.formerly):
				old++
			default:
				continue
			}
			vms[r.vm] = true
			last = max(last, since)
		}
		text := fmt.Sprintf("round %d: later than %v after the confirmation, %d requests on the added route got 404 and %d unsafe ones were run by the old service, sent to %d daemons that reach the store; the last %v after it",
			round+1, configApply, missing, old, len(vms), last.Round(time.Millisecond))
		if missing > 0 { // the daemon that answers 404 has itself the older version; one that forwards may not
			c.fault("%s", text)
			continue
		}
		c.record.say("%s", text)
	}
	c.record.say("%d requests", len(q.byID()))
	return nil
}
