package main

import (
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"
)

const (
	// configApply is config_apply_ms of the sites.
	configApply = 2 * time.Second
	// silentTime is how long the store gives some machines no response, routesRounds how often.
	silentTime   = 6 * time.Second
	routesRounds = 4
	// maxTurnedAway is the largest share of the machines that the store turns away in the site files.
	maxTurnedAway = 0.35
)

// playRoutes: the store gives some machines no response and serves the others and the operator,
// who moves a route to another service.
func playRoutes(d *deployment, trouble bool) (int, error) {
	zones := []string{"zone-a", "zone-a", "zone-a", "zone-b", "zone-b", "zone-b", "zone-c", "zone-c", "zone-c"}
	if err := startSmall(d, zones, 3); err != nil {
		return cantRun, err
	}
	for i := range 3 {
		if _, err := d.addUpstream(fmt.Sprintf("i-%d5f20b9a", i), "booking-desk", "zone-b", 3, 60*time.Millisecond); err != nil {
			return cantRun, err
		}
	}
	time.Sleep(2 * time.Second)
	verdict := held
	services := []string{"booking-desk", "guest-records"}
	for round := range routesRounds {
		broke, err := d.routesRound(uint64(8+round), services[round%2], trouble)
		if err != nil {
			return cantRun, err
		}
		verdict = max(verdict, broke)
		time.Sleep(4 * time.Second)
	}
	return verdict, nil
}

// routesRound publishes one version and checks which service runs requests that are sent later
// than configApply after its confirmation.
func (d *deployment) routesRound(version uint64, service string, trouble bool) (int, error) {
	watchers := d.store.watchers(3 * time.Second)
	if most := int(maxTurnedAway * float64(len(d.fronts))); len(watchers) > most {
		watchers = watchers[:most]
	}
	if len(watchers) == 0 {
		return cantRun, errors.New("no machine watches the store")
	}
	if trouble {
		d.record.note("the store gives %v no response for %v", watchers, silentTime)
		d.store.setSilent(watchers, true)
	}
	time.Sleep(100 * time.Millisecond)
	confirmed := d.store.publishRoutes(recordsRoutes(version, service))
	d.record.noteAt(confirmed, "version %d is confirmed: /visits/ goes to %s", version, service)
	var mu sync.Mutex
	var lookups []sent
	var wait sync.WaitGroup
	time.Sleep(time.Until(confirmed.Add(configApply + 20*time.Millisecond)))
	for time.Since(confirmed) < silentTime-time.Second {
		for _, zone := range []string{"zone-a", "zone-b", "zone-c"} {
			wait.Go(func() {
				told, err := d.resolveNear(zone)
				if err != nil {
					return
				}
				for _, address := range told.Addresses {
					if slices.Contains(watchers, ipOf(address)) {
						continue // it is not in touch
					}
					s := request(d.record, address, recordsHost, "GET", "/visits/17", 3*time.Second, nil, nil)
					mu.Lock()
					lookups = append(lookups, s)
					mu.Unlock()
				}
			})
		}
		time.Sleep(200 * time.Millisecond)
	}
	wait.Wait()
	if trouble {
		d.record.note("the store serves all machines again")
		d.store.setSilent(watchers, false)
	}
	return d.judgeService(lookups, service, confirmed), nil
}

// judgeService finds requests that ran at another service than the one that the latest version names.
func (d *deployment) judgeService(lookups []sent, service string, confirmed time.Time) int {
	verdict := held
	runs := d.book.all()
	for _, s := range lookups {
		i := slices.IndexFunc(runs, func(one run) bool { return one.id == s.id })
		if i < 0 {
			continue
		}
		if runs[i].service != service {
			verdict = broken
			d.record.note("CONFIG: request %s was sent to %s %d ms after the confirmation and ran at the old service %s", s.id, s.address, s.at.Sub(confirmed).Milliseconds(), runs[i].service)
		}
	}
	return verdict
}
