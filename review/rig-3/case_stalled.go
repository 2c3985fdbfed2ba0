package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

func init() { cases["stalled"] = stalled }

const (
	// Rates are requests a second at each of the two VMs that callers are shown: half of the sheet of soojavesi-gw.
	browseRate, confirmRate, formRate = 16.4, 41, 5.65
	lookupRate                        = 13.1
	stalledForm                       = 3_000_000
	stalledCut                        = 15 * time.Second
)

// tally counts the first tries at one VM, and those that were served.
type tally struct{ tries, served int }

func (t tally) share() float64 { return float64(t.served) / float64(max(t.tries, 1)) }

// stalled cuts one VM off from all targets while long forms are read slowly.
func stalled(dir string, hasTrouble bool) bool {
	s := newStore()
	s.put("op/config", configuration(7, "h.example",
		route{"package-browse", "/browse/", "safe", "svc", 5000},
		route{"booking-confirm", "/confirm/", "unsafe", "svc", 8000},
		route{"visit-lookup", "/lookup/", "safe", "svc", 3000},
		route{"form-upload", "/forms/", "upload", "svc", 10000}))
	for i := range 8 {
		s.newTarget(fmt.Sprintf("i-%d", i+1), "svc", 50+i)
	}
	vms := newFleet(dir, 4, s, func(settings map[string]any) {
		settings["source_address"] = strings.Split(settings["listen"].(map[string]any)["callers"].(string), ":")[0]
	})
	time.Sleep(3 * time.Second)
	shown, _ := resolve(vms[0])
	var shownVMs []*vm
	for _, v := range vms {
		if slices.Contains(shown, v.callers) {
			shownVMs = append(shownVMs, v)
		}
	}
	cut := shownVMs[0]
	note("callers are shown %v", shown)
	end := time.Now().Add(2*time.Second + stalledCut)
	cutAt := time.Now().Add(2 * time.Second)
	if hasTrouble {
		time.AfterFunc(2*time.Second, func() {
			note("%s is cut off from all targets", cut.name)
			cutOff(cut.ip, true)
		})
	}
	var wait sync.WaitGroup
	var mu sync.Mutex
	tallies := map[*vm]*tally{}
	byKind := map[string]*tally{}
	for _, v := range vms {
		tallies[v] = &tally{}
	}
	callers := &directory{vms: vms}
	ask := func(kind string, r sent) {
		first := time.Now()
		isServed := false
		address := callers.pick(rand.IntN(1000))
		at := slices.IndexFunc(vms, func(v *vm) bool { return v.callers == address })
		if at < 0 {
			return
		}
		v := vms[at]
		if c, err := tryCaller(address); err == nil {
			isServed = c.ask(r).status == http.StatusOK
			c.close()
		}
		if first.Before(cutAt.Add(3 * time.Second)) { // stability_ms
			return
		}
		mu.Lock()
		defer mu.Unlock()
		key := v.name + " " + kind
		if byKind[key] == nil {
			byKind[key] = &tally{}
		}
		for _, t := range []*tally{tallies[v], byKind[key]} {
			t.tries++
			if isServed {
				t.served++
			}
		}
	}
	every := func(v *vm, perSecond float64, kind string, request func(id string) sent) {
		wait.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				r := request(fmt.Sprintf("%s-%s-%d", kind, v.name, n))
				r.host = "h.example"
				wait.Go(func() { ask(kind, r) })
				time.Sleep(time.Duration(float64(time.Second) / perSecond))
			}
		})
	}
	for _, v := range shownVMs {
		every(v, browseRate, "browse", func(id string) sent {
			return sent{id: id, method: http.MethodGet, path: "/browse/" + id + "?work_ms=340", limitMs: 5000}
		})
		every(v, lookupRate, "lookup", func(id string) sent {
			return sent{id: id, method: http.MethodGet, path: "/lookup/" + id + "?work_ms=140", limitMs: 3000}
		})
		every(v, confirmRate, "confirm", func(id string) sent {
			return sent{id: id, method: http.MethodPost, path: "/confirm/" + id + "?work_ms=440", limitMs: 8000, body: []byte("slot")}
		})
		every(v, formRate, "form", func(id string) sent {
			return sent{id: id, method: http.MethodPost, path: "/forms/" + id + "?work_ms=410&slow_read=200", limitMs: 10000, body: bytes.Repeat([]byte("x"), stalledForm)}
		})
	}
	wait.Wait()
	tries, failed, other := 0, 0, tally{}
	for _, v := range vms {
		t := tallies[v]
		note("%s: %d of %d first tries served", v.name, t.served, t.tries)
		fmt.Printf("%s: %d of %d first tries served\n", v.name, t.served, t.tries)
		tries += t.tries
		if v == cut {
			failed = t.tries - t.served
			continue
		}
		other.tries += t.tries
		other.served += t.served
	}
	for key, t := range byKind {
		note("%s: %d of %d", key, t.served, t.tries)
		fmt.Printf("%s: %d of %d\n", key, t.served, t.tries)
	}
	isRare := tallies[cut].share() < 2.0/3*other.share()
	isMuch := float64(failed) > 10+float64(tries)/50
	note("served at the machine that is cut off %.2f, at the others %.2f; %d of all %d first tries failed there", tallies[cut].share(), other.share(), failed, tries)
	return !(isRare && isMuch)
}
