package main

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"
)

func init() {
	cases["header"] = func(c *testcase) error { return playHeader(c, office) }
	// The same with a header in ASCII, for comparison.
	cases["header-ascii"] = func(c *testcase) error { return playHeader(c, "Johvi") }
}

const (
	// stability is stability_ms: the rule counts from that long after the begin of the cut.
	stability = 3 * time.Second
	// partitionTime is how long the machines of a zone are partitioned from all upstreams.
	partitionTime = 12 * time.Second
	// office is a header's value in ISO 8859-1: "Jõhvi". Its second byte is no UTF-8.
	office = "J\xf5hvi"
)

// playHeader partitions the machines of a zone from all upstreams, by resets. The upstreams' answers have a
// header in ISO 8859-1. It compares how often first tries are served at these machines and at the others.
func playHeader(c *testcase, office string) error {
	const network = "127.94.0"
	free, err := freePorts(1, network+".100")
	if err != nil {
		return err
	}
	s, err := newStore(fmt.Sprintf("%s.100:%d", network, free[0]))
	if err != nil {
		return err
	}
	defer s.close()
	s.publish(configuration(3))
	var upstreams []*upstream
	for i := range 9 {
		u, err := newUpstream(c.record, fmt.Sprintf("i-%d", i+1), "booking", network+".101:0", zones[i%len(zones)], 3, 50*time.Millisecond)
		if err != nil {
			return err
		}
		u.office = office
		upstreams = append(upstreams, u)
		s.put(u.entry())
	}
	f, err := newFleet(c.dir, network, s.address, append(zones, zones...))
	if err != nil {
		return err
	}
	defer f.end()
	isCut, addresses := make(map[string]bool), make(map[string]bool)
	for _, v := range f.vms {
		// As on a machine of its own: upstreams see where a connection comes from.
		v.settings["source_address"] = v.ip
		if err := v.writeSettings(); err != nil {
			return err
		}
		if v.zone == zones[0] {
			isCut[v.name], addresses[v.ip] = true, true
		}
	}
	if err := f.startAll(10 * time.Second); err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	q := newRequesters(c.record)
	var streams sync.WaitGroup
	streams.Go(func() {
		q.stream(ctx, 25*time.Millisecond, func(i int) (*vm, request) {
			return f.vms[i%len(f.vms)], request{method: "POST", host: host, path: fmt.Sprintf("/book/%d", i), body: "one booking", limit: 2500 * time.Millisecond}
		})
	})
	time.Sleep(4 * time.Second)
	cutAt := time.Now()
	if c.trouble {
		for _, u := range upstreams {
			u.partition(addresses)
		}
		c.record.say("the machines of %s are partitioned from all upstreams", zones[0])
	}
	time.Sleep(partitionTime)
	healedAt := time.Now()
	for _, u := range upstreams {
		u.partition(nil)
	}
	time.Sleep(3 * time.Second)
	stop()
	streams.Wait()
	ran := make(map[string]string)
	for _, u := range upstreams {
		for _, one := range u.arrivals() {
			if one.ran {
				ran[one.id] = u.id
			}
		}
	}
	var tries, served [2]int
	lost := 0
	for _, r := range q.byID() {
		if r.sent.Sub(cutAt) < stability || !r.ended.Before(healedAt) {
			continue
		}
		side := 0
		if isCut[r.vm] {
			side = 1
		}
		tries[side]++
		isServed := r.status == 200 && r.sealed && strings.Contains(r.answer, r.id)
		if isServed {
			served[side]++
		}
		if !isServed && ran[r.id] != "" {
			lost++
			c.record.line("%s has run at %s and got %d at %s", r.id, ran[r.id], r.status, r.vm)
		}
	}
	failed := tries[1] - served[1]
	text := fmt.Sprintf("from %v after the cut: %d of %d first tries served at the machines of %s, %d of %d at the others; %d bookings have run and their answers are lost",
		stability, served[1], tries[1], zones[0], served[0], tries[0], lost)
	rate := func(side int) float64 { return float64(served[side]) / float64(max(tries[side], 1)) }
	if 3*rate(1) < 2*rate(0) && float64(failed) > 10+float64(tries[0]+tries[1])/50 {
		c.fault("%s", text)
		return nil
	}
	c.record.say("%s", text)
	return nil
}
