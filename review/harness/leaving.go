package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// drainTime is drain_ms of the sites; servesOn is how much longer an upstream that leaves
	// goes on serving.
	drainTime = 2 * time.Second
	servesOn  = 400 * time.Millisecond
	// bookingWork is how long upstreams work on a booking.
	bookingWork = 300 * time.Millisecond
	// cutInterval is the time between two cuts of the waiting watches.
	cutInterval = 400 * time.Millisecond
	// maxPause is the longest time between two bookings of a requester.
	maxPause = 200 * time.Millisecond
	// leavingRounds is how often an upstream leaves.
	leavingRounds = 5
)

// playLeaving: waiting watches are cut twice, and at that time an upstream leaves that never reports
// that it drains.
func playLeaving(d *deployment, trouble bool) (int, error) {
	if err := startSmall(d, []string{"zone-a", "zone-a", "zone-b", "zone-b", "zone-c", "zone-c"}, 3); err != nil {
		return cantRun, err
	}
	for _, u := range d.upstreams {
		u.work = bookingWork
	}
	verdict := held
	for round := range leavingRounds {
		broke, err := d.leavingRound(round, trouble)
		if err != nil {
			return cantRun, err
		}
		verdict = max(verdict, broke)
		time.Sleep(4 * time.Second)
	}
	return verdict, nil
}

func (d *deployment) leavingRound(round int, trouble bool) (int, error) {
	leaver := d.upstreams[len(d.upstreams)-1]
	stop := make(chan struct{})
	var mu sync.Mutex
	var bookings []sent
	var wait sync.WaitGroup
	for _, zone := range []string{"zone-a", "zone-b", "zone-c"} {
		for range 4 {
			wait.Go(func() {
				for {
					select {
					case <-stop:
						return
					default:
					}
					told, err := d.fronts[0].resolve(recordsHost, zone)
					if err != nil {
						continue
					}
					for i := range 6 {
						s := request(d.record, told.Addresses[i%len(told.Addresses)], recordsHost, "POST", "/bookings/17", 3*time.Second, []byte("a"), bytes.NewReader([]byte("a")))
						mu.Lock()
						bookings = append(bookings, s)
						mu.Unlock()
						time.Sleep(rand.N(maxPause))
					}
				}
			})
		}
	}
	time.Sleep(2 * time.Second)
	if trouble {
		d.record.note("waiting watches are cut")
		d.store.cutWatches()
		time.Sleep(cutInterval)
		d.record.note("waiting watches are cut")
		d.store.cutWatches()
	}
	gone := d.store.removeTarget(leaver.id)
	d.record.noteAt(gone, "the entry of %s is removed", leaver.id)
	time.Sleep(time.Until(gone.Add(drainTime + servesOn)))
	leaver.stop()
	d.record.note("%s ends", leaver.id)
	if _, err := d.addUpstream(fmt.Sprintf("i-%d77aa01c", round), "guest-records", "zone-a", 3, bookingWork); err != nil {
		return cantRun, err
	}
	close(stop)
	wait.Wait()
	return d.judgeLeaving(leaver, gone, bookings), nil
}

// judgeLeaving finds requests that reached an upstream later than drainTime after the store had
// confirmed that it is gone.
func (d *deployment) judgeLeaving(leaver *upstream, gone time.Time, bookings []sent) int {
	verdict := held
	for _, one := range d.book.all() {
		late := one.at.Sub(gone) - drainTime
		if one.upstream == leaver.id && one.at.After(gone) {
			d.record.noteAt(one.at, "%s", describe(one))
		}
		if one.upstream != leaver.id || late <= 0 {
			continue
		}
		verdict = broken
		d.record.note("DRAIN: request %s reached %s %d ms after the confirmation, from machine %s", one.id, leaver.id, one.at.Sub(gone).Milliseconds(), one.fromIP)
	}
	for _, s := range bookings {
		if s.status != 200 {
			d.record.note("booking %s, which must not be sent again, was answered %d", s.id, s.status)
		}
	}
	return verdict
}
