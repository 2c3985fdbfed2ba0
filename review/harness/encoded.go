package main

import (
	"slices"
	"time"
)

// playEncoded: paths in which a slash within a segment is percent-encoded. By its beginning, such a
// path belongs to another route than the decoded one.
func playEncoded(d *deployment, trouble bool) (int, error) {
	if err := startSmall(d, []string{"zone-a", "zone-a"}, 2); err != nil {
		return cantRun, err
	}
	if _, err := d.addUpstream("i-05f20b9a", "booking-desk", "zone-a", 3, 60*time.Millisecond); err != nil {
		return cantRun, err
	}
	time.Sleep(2 * time.Second)
	path := "/visits/offers-17"
	if trouble {
		path = "/visits/offers%2F17"
	}
	verdict := held
	for _, f := range d.fronts {
		s := request(d.record, f.at(d.ports.front), recordsHost, "GET", path, 3*time.Second, nil, nil)
		runs := d.book.all()
		i := slices.IndexFunc(runs, func(one run) bool { return one.id == s.id })
		if i < 0 {
			return cantRun, s.err
		}
		d.record.noteAt(runs[i].at, "%s", describe(runs[i]))
		if runs[i].service != "guest-records" {
			verdict = broken
			d.record.note("ROUTE: %s begins with /visits/, whose service is guest-records, and ran at %s", path, runs[i].service)
		}
	}
	return verdict, nil
}
