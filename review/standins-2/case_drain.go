package main

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/primroseloom/primroseloom/config/routing"
)

func init() { cases["drain"] = playDrain }

const (
	// drainTime is the site's drain_ms, from the store's confirmation that an upstream is gone.
	drainTime = 2 * time.Second
	// servesOn is how much longer than drainTime an upstream that leaves serves.
	servesOn = 400 * time.Millisecond
	// drainRounds is the number of upstreams that leave.
	drainRounds = 6
)

const host = "booking.example"

// route returns a route of the host to a service.
func route(name, prefix, service string, kind routing.Kind) routing.Route {
	return routing.Route{
		Name: name, Host: host, Prefix: prefix, Kind: kind, Timeout: 2500 * time.Millisecond, Objective: 600 * time.Millisecond,
		Priority: 1, MaxAttempts: 2, Split: []routing.Share{{Service: service, Weight: 1}},
	}
}

// configuration returns a configuration with the service booking, and one unsafe route to it.
func configuration(version uint64) routing.Document {
	return routing.Document{
		Version:  version,
		Services: []routing.Service{{Name: "booking", HealthPath: healthPath, MaxConnections: 330}},
		Routes:   []routing.Route{route("r-book", "/book/", "booking", routing.KindOnce)},
		Limits:   limits,
	}
}

// limits are those of the sites.
var limits = routing.Limits{HeaderBytes: 16 << 10, BodyBytes: 64 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}

var zones = []string{"ee-north-a", "ee-north-b", "ee-north-c"}

// playDrain lets upstreams leave whose entry the store removes without a report of draining, while it
// cuts the watches that wait, twice, just before. It counts what requesters send to such an upstream
// later than drainTime after the store confirmed the removal.
func playDrain(c *testcase) error {
	const network = "127.91.0"
	storePort, err := freePorts(1, network+".100")
	if err != nil {
		return err
	}
	s, err := newStore(fmt.Sprintf("%s.100:%d", network, storePort[0]))
	if err != nil {
		return err
	}
	defer s.close()
	s.publish(configuration(3))
	var upstreams []*upstream
	add := func() error {
		n := len(upstreams)
		u, err := newUpstream(c.record, fmt.Sprintf("i-%d", n+1), "booking", fmt.Sprintf("%s.%d:0", network, 101+n), zones[n%len(zones)], 3, 200*time.Millisecond)
		if err != nil {
			return err
		}
		upstreams = append(upstreams, u)
		s.put(u.entry())
		return nil
	}
	for range 6 {
		if err := add(); err != nil {
			return err
		}
	}
	f, err := newFleet(c.dir, network, s.address, zones)
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
		q.stream(ctx, 25*time.Millisecond, func(i int) (*vm, request) {
			return f.vms[i%len(f.vms)], request{method: "POST", host: host, path: fmt.Sprintf("/book/%d", i), body: "one booking", limit: 2500 * time.Millisecond}
		})
	})
	time.Sleep(5 * time.Second)
	type leaving struct {
		upstream *upstream
		gone     time.Time
	}
	var left []leaving
	for round := range drainRounds {
		if err := add(); err != nil {
			return err
		}
		time.Sleep(3500 * time.Millisecond) // the store is stable for longer than stability_ms
		if c.trouble {
			first := s.cutWatches()
			time.Sleep(120 * time.Millisecond)
			second := s.cutWatches()
			c.record.line("cut %d and %d watches", first, second)
			time.Sleep(30 * time.Millisecond)
		}
		u := upstreams[round]
		gone := s.remove(u.id)
		c.record.line("the store confirms that %s is gone", u.id)
		left = append(left, leaving{u, gone})
		time.Sleep(time.Until(gone.Add(drainTime + servesOn)))
		u.end()
		c.record.line("%s ends", u.id)
	}
	time.Sleep(3 * time.Second)
	stop()
	streams.Wait()
	sent := q.byID()
	lost := 0
	for _, l := range left {
		late := 0
		for _, arrived := range l.upstream.arrivals() {
			r := sent[arrived.id]
			if r == nil || arrived.at.Sub(l.gone) <= drainTime || r.sent.Sub(l.gone) <= drainTime {
				continue
			}
			late++
			c.fault("%s reaches %s %d ms after the store confirmed that it is gone; %s ended with status %d", r.id, l.upstream.id, arrived.at.Sub(l.gone).Milliseconds(), r.id, r.status)
			if r.status != 200 {
				lost++
			}
		}
		c.record.say("%s: %d late requests", l.upstream.id, late)
	}
	c.record.say("%d requests, %d of the late ones have no answer of their upstream", len(sent), lost)
	return nil
}
