package main

import (
	"bytes"
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["unanswered"] = unanswered }

const (
	// formBytes is the size of a form with photos, formTimeout the route's timeout, and formLimit how long its
	// caller waits.
	formBytes   = 12_000_000
	formTimeout = 1500 * time.Millisecond
	formLimit   = 4 * time.Second
	formCallers = 4
	formRounds  = 8
	// answerSlack is how long after the route's timeout the rule CONFIG lets an answer come.
	answerSlack = 500 * time.Millisecond
	// mayBeCut is how many requests of kept connections the rule LOST lets end without an answer.
	mayBeCut = 3
)

// unanswered sends forms that upstreams read slowly, each on a connection that has carried a short one before.
func unanswered(dir string, hasTrouble bool) bool {
	s := newStore()
	s.put("op/config", configuration(7, "h.example", route{"form-upload", "/forms/", "upload", "records", int(formTimeout.Milliseconds())}))
	var targets []*target
	for i := range 4 {
		targets = append(targets, s.newTarget(fmt.Sprintf("i-%d", i+1), "records", 50+i))
	}
	vms := newFleet(dir, 3, s, nil)
	time.Sleep(3 * time.Second)
	shown := resolve(vms[0])
	var wait sync.WaitGroup
	var mu sync.Mutex
	var sentForms, lost, unansweredInTime int
	for k := range formCallers {
		wait.Go(func() {
			for n := range formRounds {
				c := newCaller(shown[k%len(shown)])
				short := fmt.Sprintf("short-%d-%d", k, n)
				a := c.ask(sent{id: short, method: http.MethodPost, path: "/forms/" + short, host: "h.example", limitMs: int(formLimit.Milliseconds()), body: []byte("form")})
				if a.status != http.StatusOK {
					fail("the short form %s got %v", short, a)
				}
				id := fmt.Sprintf("long-%d-%d", k, n)
				path := "/forms/" + id + "?work_ms=20"
				if hasTrouble {
					path += "&slow_read=5"
				}
				a = c.ask(sent{id: id, method: http.MethodPost, path: path, host: "h.example", limitMs: int(formLimit.Milliseconds()), body: bytes.Repeat([]byte("x"), formBytes)})
				c.close()
				mu.Lock()
				sentForms++
				if a.err != nil && runsOf(targets, id) > 0 {
					lost++
				}
				if a.err != nil || a.after > formTimeout+answerSlack {
					unansweredInTime++
				}
				mu.Unlock()
			}
		})
	}
	wait.Wait()
	note("LOST: %d of %d long forms were passed on to a sound upstream, and their kept connections closed without an answer; the rule allows %d", lost, sentForms, mayBeCut)
	note("CONFIG: %d of %d long forms have no final answer %v after the route's timeout of %v; the rule allows fewer than 8, or a quarter", unansweredInTime, sentForms, answerSlack, formTimeout)
	return lost <= mayBeCut && (unansweredInTime < 8 || 4*unansweredInTime <= sentForms)
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
