package main

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/primroseloom/primroseloom/config/routing"
)

func init() {
	cases["feed"] = func(c *testcase) error { return playFeed(c, feedBytes) }
	// The same with a configuration of 0.9 MB, for comparison: a listing is below the limit.
	cases["feed-small"] = func(c *testcase) error { return playFeed(c, 0) }
}

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

// largeConfiguration returns a configuration of feedRoutes routes, most with prefixes that are longer by
// padding bytes. Its unsafe route /book/ goes to the service bookTo; with added, one of its routes is /added/.
func largeConfiguration(version uint64, padding int, bookTo, added string) routing.Document {
	routes := configuration(version)
	routes.Services = []routing.Service{
		{Name: "booking", HealthPath: healthPath, MaxConnections: 3600}, {Name: "records", HealthPath: healthPath, MaxConnections: 3600},
	}
	routes.Routes = []routing.Route{route("r-book", "/book/", bookTo, routing.KindOnce)}
	if added != "" {
		routes.Routes = append(routes.Routes, route("r-"+added, "/"+added+"/", "booking", routing.KindIdempotent))
	}
	for i := len(routes.Routes); i < feedRoutes; i++ {
		prefix := fmt.Sprintf("/packages/partner-%04d/%s/", i, strings.Repeat("s", padding))
		routes.Routes = append(routes.Routes, route(fmt.Sprintf("r-partner-%04d", i), prefix, "booking", routing.KindIdempotent))
	}
	return routes
}

// playFeed lets the store discard its history right after a version of the configuration. After a calm
// time, another version moves an unsafe route and adds one. It counts the requests, sent to each ready
// daemon later than configApply after the confirmation, that are handled as only an older version allows.
func playFeed(c *testcase, feedBytes int) error {
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
	s.publish(largeConfiguration(2, 1, "booking", ""))
	shortest, _, err := s.sizes()
	if err != nil {
		return err
	}
	padding := 1 + max((feedBytes-shortest)/feedRoutes, 0)
	s.publish(largeConfiguration(3, padding, "booking", ""))
	for i := range feedBooking + feedRecords {
		service := "booking"
		if i >= feedBooking {
			service = "records"
		}
		u, err := newUpstream(c.record, fmt.Sprintf("i-%s-%08x", service, i), service, network+".101:0", zones[i%len(zones)], 3, 30*time.Millisecond)
		if err != nil {
			return err
		}
		s.put(u.entry())
	}
	routes, entries, err := s.sizes()
	if err != nil {
		return err
	}
	c.record.say("the configuration has %d bytes, the entries of %d upstreams have %d", routes, feedBooking+feedRecords, entries)
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
		s.publishAndDiscard(largeConfiguration(5, padding, "booking", "early"))
		c.record.say("the store confirms version 5 and discards its history")
	} else {
		s.publish(largeConfiguration(5, padding, "booking", "early"))
		c.record.say("the store confirms version 5")
	}
	time.Sleep(20 * time.Second)
	confirmed := s.publish(largeConfiguration(8, padding, "records", "late"))
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
