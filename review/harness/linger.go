package main

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// lingerWork is how long a booking takes; route timeouts are 3 s, time limits 5 s.
	lingerWork, lingerLimit = 2700 * time.Millisecond, 5 * time.Second
	// excusedUntil is how long after a SIGTERM a request may be sent at whose end the upstream is still
	// at work in the last sixth of grace_s.
	excusedUntil = 3 * time.Second
	// lingerRequesters is how many requesters ask for the machines to use, askInterval the time
	// between two of them. They begin askBefore the SIGTERM.
	lingerRequesters, askInterval, askBefore = 100, 2 * time.Millisecond, 20 * time.Millisecond
)

// playLinger: a machine is stopped as planned. Requesters use it as long as the directory's answers
// allow, and send it bookings that take long.
func playLinger(d *deployment, trouble bool) (int, error) {
	if err := startSmall(d, []string{"zone-a", "zone-a", "zone-a", "zone-b", "zone-b", "zone-b"}, 10); err != nil {
		return cantRun, err
	}
	told, err := d.resolveNear("zone-a")
	if err != nil {
		return cantRun, err
	}
	i := slices.IndexFunc(d.fronts, func(f *front) bool { return f.at(d.ports.front) == told.Addresses[0] })
	if i < 0 {
		return cantRun, fmt.Errorf("nobody has the address %s", told.Addresses[0])
	}
	for _, u := range d.upstreams {
		u.work = lingerWork
	}
	victim, stopped := d.fronts[i], make(chan time.Time, 1)
	time.AfterFunc(askBefore, func() {
		if trouble {
			victim.signal(syscall.SIGTERM)
		}
		stopped <- time.Now() // after the signal, so that no request counts as later than it was
	})
	var mu sync.Mutex
	var bookings []sent
	var wait sync.WaitGroup
	for range lingerRequesters {
		wait.Go(func() {
			s, ok := d.bookLater(victim)
			mu.Lock()
			defer mu.Unlock()
			if ok {
				bookings = append(bookings, s)
			}
		})
		time.Sleep(askInterval)
	}
	wait.Wait()
	return d.judgeStop(bookings, <-stopped), nil
}

// bookLater asks a machine of the zone for the machines to use, keeps the answer for nearly three times the time
// that is named, and sends a booking to a random machine of it if that is the victim.
func (d *deployment) bookLater(victim *front) (sent, bool) {
	asked := d.fronts[rand.IntN(3)] // those of zone-a
	told, err := asked.resolve(recordsHost, "zone-a")
	at := time.Now()
	if err != nil || told.Addresses[rand.IntN(len(told.Addresses))] != victim.at(d.ports.front) {
		return sent{}, false
	}
	time.Sleep(time.Until(at.Add(3*told.keep - 10*time.Millisecond)))
	return request(d.record, victim.at(d.ports.front), recordsHost, "POST", "/bookings/17", lingerLimit, []byte("a booking"), strings.NewReader("a booking")), true
}

// judgeStop finds bookings that ran and whose connection ended without an answer, except those that
// were sent so soon after the SIGTERM that the rule excuses them.
func (d *deployment) judgeStop(bookings []sent, stopAt time.Time) int {
	verdict := held
	runs := d.book.all()
	for _, s := range bookings {
		i := slices.IndexFunc(runs, func(one run) bool { return one.id == s.id })
		if i < 0 {
			continue
		}
		d.record.noteAt(runs[i].at, "%s", describe(runs[i]))
		after := s.at.Sub(stopAt)
		if s.status != 0 || after <= excusedUntil {
			continue
		}
		verdict = broken
		d.record.note("LOST: booking %s was sent %d ms after the SIGTERM, ran and got no answer: %v", s.id, after.Milliseconds(), s.err)
	}
	return verdict
}
