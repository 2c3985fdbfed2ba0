package main

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"time"
)

func init() { cases["feed"] = playFeed }

// Bounds of the site.
const (
	// configApply is config_apply_ms, from the store's confirmation of a version.
	configApply = 2 * time.Second
	// stretch is max_stretch_ms, by which an unstable store would stretch it.
	stretch = 5 * time.Second
)

const (
	// feedRoutes is the number of routes, that of the users' plan (letter 1).
	feedRoutes = 3800
	// feedBytes is the size of the configuration; the store takes values of 1,048,576 bytes.
	feedBytes = 1_040_000
	// feedBooking and feedRecords are the numbers of upstreams of the two services, those of the large
	// installation.
	feedBooking, feedRecords = 402, 78
)

// largeConfiguration returns a configuration of feedRoutes routes and about feedBytes bytes. Its unsafe
// route /book/ goes to the service bookTo; with added, it has one route more.
func largeConfiguration(version int, bookTo, added string) map[string]any {
	route := func(name, prefix, service, kind string) map[string]any {
		return map[string]any{"name": name, "path_prefix": prefix, "service": service, "kind": kind, "timeout_ms": 2500, "target_latency_ms": 600, "max_attempts": 2, "priority": 1}
	}
	service := func(name string) map[string]any {
		return map[string]any{"name": name, "health_path": "/health", "max_connections": 3600, "protocol": "h1", "tls": false}
	}
	build := func(padding int) map[string]any {
		paths := []any{route("r-book", "/book/", bookTo, "unsafe")}
		if added != "" {
			paths = append(paths, route("r-"+added, "/"+added+"/", "booking", "safe"))
		}
		for i := len(paths); i < feedRoutes; i++ {
			paths = append(paths, route(fmt.Sprintf("r-partner-%04d", i), fmt.Sprintf("/packages/partner-%04d/%s/", i, strings.Repeat("s", padding)), "booking", "safe"))
		}
		return map[string]any{
			"version": version, "services": []any{service("booking"), service("records")},
			"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
			"hosts":  []any{map[string]any{"host": host, "paths": paths}},
		}
	}
	padding := max((feedBytes-sizeOf(build(0)))/feedRoutes, 0)
	return build(padding)
}

func sizeOf(value any) int {
	content, err := json.Marshal(value)
	if err != nil {
		panic(err) // every value of a case can be encoded
	}
	return len(content)
}

// playFeed lets the store discard its history right after a version of the configuration. After a calm
// time, another version moves an unsafe route and adds one. It counts the requests, sent to each ready
// daemon later than configApply after the confirmation, that are handled as only an older version allows.
func playFeed(c *testcase) error {
	const network = "127.92.0"
	free, err := freePorts(1, network+".100")
	if err != nil {
		return err
	}
	s, err := newStore(fmt.Sprintf("%s.100:%d", network, free[0]))
	if err != nil {
		return err
	}
	defer s.close()
	s.put("op/config", largeConfiguration(3, "booking", ""))
	c.record.say("the configuration has %d bytes", sizeOf(largeConfiguration(3, "booking", "")))
	entries := 0
	for i := range feedBooking + feedRecords {
		service := "booking"
		if i >= feedBooking {
			service = "records"
		}
		u, err := newUpstream(c.record, fmt.Sprintf("i-%s-%08x", service, i), service, network+".101:0", zones[i%len(zones)], 3, 30*time.Millisecond)
		if err != nil {
			return err
		}
		entry := u.entry("ready")
		entries += sizeOf(entry)
		s.put("servers/"+u.id, entry)
	}
	c.record.say("the entries of %d upstreams have %d bytes", feedBooking+feedRecords, entries)
	f, err := newFleet(c.dir, network, s.address, append(zones, zones...))
	if err != nil {
		return err
	}
	defer f.end()
	if err := f.startAll(10 * time.Second); err != nil {
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	q := newRequesters(c.record)
	var streams sync.WaitGroup
	streams.Go(func() {
		q.stream(ctx, 40*time.Millisecond, func(i int) (*vm, request) {
			return f.vms[i%len(f.vms)], request{method: "POST", host: host, path: fmt.Sprintf("/book/%d", i), body: "one booking", limit: 2500 * time.Millisecond}
		})
	})
	streams.Go(func() {
		q.stream(ctx, 200*time.Millisecond, func(i int) (*vm, request) {
			return f.vms[i%len(f.vms)], request{method: "GET", host: host, path: fmt.Sprintf("/late/%d", i), limit: 2 * time.Second}
		})
	})
	time.Sleep(8 * time.Second)
	if c.trouble {
		s.putAndDiscard("op/config", largeConfiguration(5, "booking", "early"))
		c.record.say("the store confirms version 5 and discards its history")
	} else {
		s.put("op/config", largeConfiguration(5, "booking", "early"))
		c.record.say("the store confirms version 5")
	}
	time.Sleep(20 * time.Second)
	confirmed := s.put("op/config", largeConfiguration(8, "records", "late"))
	c.record.say("the store confirms version 8, which adds the route /late/ and moves /book/ to the service records")
	time.Sleep(20 * time.Second)
	stop()
	streams.Wait()
	stale := make(map[string][2]int)
	for _, r := range q.byID() {
		if r.sent.Sub(confirmed) <= configApply+stretch {
			continue
		}
		counts := stale[r.vm]
		switch {
		case strings.HasPrefix(r.path, "/late/") && r.status == 404:
			counts[0]++
		case strings.HasPrefix(r.path, "/book/") && strings.HasPrefix(r.answer, "i-booking-"):
			counts[1]++
		default:
			continue
		}
		stale[r.vm] = counts
		c.faults++
	}
	for _, v := range f.vms {
		if counts, ok := stale[v.name]; ok {
			c.record.say("BROKEN: %s: later than %v after the confirmation, %d requests on the added route got 404, and %d unsafe ones were run by the old service", v.name, configApply+stretch, counts[0], counts[1])
		}
	}
	c.record.say("%d requests", len(q.byID()))
	return nil
}
