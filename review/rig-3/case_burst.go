package main

import (
	"bytes"
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["burst"] = burst }

// mayBeCut is how many requests of kept connections the rule LOST lets a machine end without an answer.
const mayBeCut = 3

const (
	// photoBytes is the size of an upload. Its upstream reads a part of readBytes each photoPause.
	photoBytes, photoPause   = 2_000_000, 30 * time.Millisecond
	photoTimeout, photoLimit = 10 * time.Second, 10 * time.Second
	// photoRate is the uploads a second without the burst, at all VMs together; burstFactor times as many come
	// during the burst.
	photoRate, burstFactor = 20, 2.5
	calmLength             = 6 * time.Second
	targetNumber           = 140
	burstLength            = 5800 * time.Millisecond
)

// burst sends uploads, each on a connection that has carried a short one before; for a while more of them come.
func burst(dir string, hasTrouble bool) bool {
	s := newStore()
	s.PublishRoutes(configuration(7, "/forms/", photoTimeout))
	var targets []*target
	for i := range targetNumber {
		targets = append(targets, s.newTarget(fmt.Sprintf("i-%d", i+1), 50+i))
	}
	vms := newFleet(dir, 4, s)
	time.Sleep(3 * time.Second)
	began := time.Now()
	var wait sync.WaitGroup
	var mu sync.Mutex
	counts := map[string]int{}
	lost := map[string]int{} // by the machine's address
	count := func(address, phase string, a answer, ran int) {
		mu.Lock()
		defer mu.Unlock()
		end := fmt.Sprint(a.status)
		if a.err != nil {
			end = "no answer"
		}
		counts[fmt.Sprintf("%s: %s, ran %d", phase, end, ran)]++
		if a.err != nil && ran > 0 {
			lost[address]++
		}
	}
	callers := &directory{vms: vms}
	for n := 0; time.Since(began) < 2*calmLength+burstLength; n++ {
		phase, rate := "calm", float64(photoRate)
		if since := time.Since(began); since >= calmLength && since < calmLength+burstLength {
			phase = "burst"
			if hasTrouble {
				rate *= burstFactor
			}
		}
		address := callers.pick(n / 2)
		wait.Go(func() {
			c, err := newCaller(address)
			if err != nil {
				count(address, phase, answer{err: err}, 0)
				return
			}
			defer c.close()
			short := fmt.Sprintf("short-%d", n)
			if a := c.ask(sent{id: short, path: "/forms/" + short, limit: photoLimit, body: []byte("form")}); a.status != http.StatusOK {
				count(address, phase+", short", a, runsOf(targets, short))
				return
			}
			long := fmt.Sprintf("long-%d", n)
			path := fmt.Sprintf("/forms/%s?work_ms=20&slow_read=%d", long, photoPause.Milliseconds())
			a := c.ask(sent{id: long, path: path, limit: photoLimit, body: bytes.Repeat([]byte("x"), photoBytes)})
			count(address, phase, a, runsOf(targets, long))
		})
		time.Sleep(time.Duration(float64(time.Second) / rate))
	}
	wait.Wait()
	for end, number := range counts {
		note("%s: %d", end, number)
		fmt.Printf("%s: %d\n", end, number)
	}
	held := true
	for _, v := range vms {
		number := lost[v.callers]
		held = held && number <= mayBeCut
		note("LOST: %s passed %d requests of kept connections on to sound upstreams, and closed those connections without an answer; the rule allows %d", v.name, number, mayBeCut)
		fmt.Printf("%s: %d passed on and closed without an answer\n", v.name, number)
	}
	return held
}

// runsOf returns how often a request began to run.
func runsOf(targets []*target, id string) int {
	runs := 0
	for _, t := range targets {
		t.mu.Lock()
		runs += t.runs[id]
		t.mu.Unlock()
	}
	return runs
}
