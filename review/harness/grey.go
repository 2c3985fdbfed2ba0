package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	// greyFails is the part of its requests that a gray upstream fails, greyTime how long. One
	// upstream of greyUpstreams is gray.
	greyFails, greyTime, greyUpstreams = 0.4, 5 * time.Second, 8
	// greyRequesters send bookings one after the other; their time limit is greyLimit.
	greyRequesters, greyLimit = 8, 2500 * time.Millisecond
	// greyRetries is how often a requester sends a booking again after a promise that it has not run.
	greyRetries = 2
)

// failsNow reports whether a gray upstream fails the request that it has just run.
func (u *upstream) failsNow() bool { return u.grey.Load() && rand.Float64() < greyFails }

// playGrey: an upstream fails a part of the requests that it runs with its own 503, while its status
// check is good. These answers have a seal and no statement that the request was not run.
func playGrey(d *deployment, trouble bool) (int, error) {
	if err := startSmall(d, []string{"zone-a", "zone-a", "zone-a"}, greyUpstreams); err != nil {
		return cantRun, err
	}
	grey := d.upstreams[0]
	if trouble {
		d.record.note("upstream %s fails %.0f in 100 of its requests for %v", grey.id, 100*greyFails, greyTime)
		grey.grey.Store(true)
	}
	var mu sync.Mutex
	var all []sent
	var wait sync.WaitGroup
	began := time.Now()
	for range greyRequesters {
		wait.Go(func() {
			for time.Since(began) < greyTime {
				tries := d.bookOnce(time.Now().Add(greyLimit))
				mu.Lock()
				all = append(all, tries...)
				mu.Unlock()
			}
		})
	}
	wait.Wait()
	grey.grey.Store(false)
	return d.judgeRefused(all), nil
}

// bookOnce sends a booking and, as the pages say, sends it again only after a promise that it has not
// run, each time with an identifier of its own.
func (d *deployment) bookOnce(until time.Time) []sent {
	var tries []sent
	for range 1 + greyRetries {
		f := d.fronts[rand.IntN(len(d.fronts))]
		body := []byte("a booking")
		s := request(d.record, f.at(d.ports.front), recordsHost, "POST", "/bookings/17", time.Until(until), body, bytes.NewReader(body))
		tries = append(tries, s)
		if s.status != http.StatusServiceUnavailable && s.status != http.StatusTooManyRequests || time.Until(until) < 500*time.Millisecond {
			break
		}
	}
	return tries
}

// judgeRefused finds bookings that were answered with a promise that they have not run, and have run.
func (d *deployment) judgeRefused(all []sent) int {
	verdict := held
	runs := d.book.all()
	counts := make(map[int]int)
	for _, s := range all {
		counts[s.status]++
		i := slices.IndexFunc(runs, func(one run) bool { return one.id == s.id })
		if i < 0 || !slices.Contains([]int{http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest}, s.status) {
			continue
		}
		verdict = broken
		d.record.noteAt(runs[i].at, "%s", describe(runs[i]))
		d.record.note("REFUSED: booking %s is answered %d and has run", s.id, s.status)
	}
	d.record.note("answers by status: %s", fmt.Sprint(counts))
	return verdict
}
