package soak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/primroseloom/primroseloom/config/routing"
	"github.com/primroseloom/primroseloom/platform"
	"github.com/primroseloom/primroseloom/policy/roster"
)

// Options describe a run.
type Options struct {
	// Seed draws the schedule of faults.
	Seed uint64
	// Duration is the time with faults; settling and recovery come on top.
	Duration time.Duration
	// DaemonPath is the path of the daemon's program.
	DaemonPath string
	// Directory takes the settings files and logs of the daemons.
	Directory string
	// VMs, Targets and Callers are the numbers of each.
	VMs, Targets, Callers int
	// AddressBase is the second byte of the loopback addresses; runs at the same time need
	// different ones.
	AddressBase int
	// CheckTimeBounds judges the time-bound promises as well.
	CheckTimeBounds bool
}

// Report is the result of a run.
type Report struct {
	Seed       uint64         `json:"seed"`
	Requests   int            `json:"asked"`
	Served     int            `json:"served"`
	Faults     map[string]int `json:"faults"`
	Violations []Violation    `json:"violations"`
}

const (
	// settleTime is what the fleet gets before the first fault.
	settleTime = 4 * time.Second
	// afterTime is how long load goes on once the fleet should have recovered.
	afterTime = 3 * time.Second
	// maxSlots is the number of addresses for targets.
	maxSlots = 250
)

// soak is one run.
type soak struct {
	options Options
	judge   *judge
	store   *platform.StandInStore
	fleet   *fleet

	mu      sync.Mutex
	ctx     context.Context
	version uint64
	targets []*target
	// links holds the links to all targets there ever were.
	links  []*link
	made   int
	faults map[string]int
}

// Run carries out one run. The error tells that it could not be carried out; what
// it found is in the report.
func Run(ctx context.Context, options Options) (*Report, error) {
	if options.VMs < 2 || options.Targets < leastTargets || options.Callers < 1 {
		return nil, fmt.Errorf("a soak needs 2 VMs, %d targets and a caller", leastTargets)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s := &soak{options: options, judge: newJudge(time.Now()), store: platform.NewStandInStore(), ctx: ctx, faults: make(map[string]int)}
	if err := s.begin(ctx); err != nil {
		return nil, err
	}
	defer s.end()
	loaded, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	var load sync.WaitGroup
	for i := range options.Callers {
		c := newCaller("c"+strconv.Itoa(i), options.Seed+uint64(i), s.fleet, s.judge, s.newestVersion)
		load.Go(func() { c.run(loaded) })
	}
	if !sleep(ctx, settleTime) {
		return nil, errors.New("the soak was ended early")
	}
	s.disturb(ctx)
	s.judge.faultsEnded(time.Now())
	whole := sleep(ctx, recoveryTime+afterTime)
	stopLoad()
	load.Wait()
	if !whole {
		return nil, errors.New("the soak was ended early")
	}
	return s.report(), nil
}

// begin starts the store, the targets and the daemons.
func (s *soak) begin(ctx context.Context) error {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("listen for the store: %w", err)
	}
	server := &http.Server{Handler: s.store}
	go func() { _ = server.Serve(listener) }()
	context.AfterFunc(ctx, func() { _ = server.Close() })
	for i := range s.options.Targets {
		if err := s.addTarget("t" + strconv.Itoa(i)); err != nil {
			return err
		}
	}
	s.publish()
	s.fleet, err = newFleet(ctx, s.options, listener.Addr().String(), s.judge)
	return err
}

// end ends the daemons and closes the links, so that another run can use their
// addresses.
func (s *soak) end() {
	s.fleet.end()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.links {
		l.close()
	}
	for _, v := range s.fleet.vms {
		v.callers.close()
		v.store.close()
	}
}

// disturb runs all series of faults for the duration.
func (s *soak) disturb(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, s.options.Duration)
	defer cancel()
	var running sync.WaitGroup
	start := func(sort uint64, fault func(*series) func()) {
		one := s.series(sort)
		running.Go(func() { one.repeat(ctx, fault(one)) })
	}
	start(1, func(one *series) func() { return one.process })
	start(2, func(one *series) func() { return one.process })
	start(3, func(one *series) func() { return one.callersLink })
	start(4, func(one *series) func() { return one.storeLink })
	start(5, func(one *series) func() { return one.targetFault })
	start(6, func(one *series) func() { return one.targetFault })
	start(7, func(one *series) func() { return one.operate })
	running.Wait()
}

// publish writes the next version of the routes. It drops the routes of the
// version before and adds its own.
func (s *soak) publish() {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := s.version + 1
	name := strconv.FormatUint(next, 10)
	route := func(prefix string, kind routing.Kind) routing.Route {
		return routing.Route{
			Name: prefix + name, Host: host, Prefix: "/" + prefix + name + "/", Kind: kind, Timeout: routeTimeout,
			Objective: routeTimeout / 2, Priority: 1, MaxAttempts: 2, Split: []routing.Share{{Service: service, Weight: 1}},
		}
	}
	s.store.PublishRoutes(routing.Document{
		Version:  next,
		Services: []routing.Service{{Name: service, Connections: 330}},
		Limits:   routing.Limits{HeaderBytes: 16 << 10, BodyBytes: 64 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
		Routes:   []routing.Route{route("book", routing.KindOnce), route("look", routing.KindIdempotent)},
	})
	s.judge.publishedVersion(next, time.Now())
	s.version = next
}

func (s *soak) newestVersion() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
}

// addTarget starts and publishes a target.
func (s *soak) addTarget(id string) error {
	s.mu.Lock()
	slot := s.made
	s.made++
	s.mu.Unlock()
	if slot >= maxSlots {
		return errors.New("no address is left for a target")
	}
	t, err := newTarget(s.ctx, id, address(s.options.AddressBase, kindTargetLink, slot, portCallers), zoneOf(slot), s.judge)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.targets = append(s.targets, t)
	s.links = append(s.links, t.link)
	s.mu.Unlock()
	s.store.PublishTarget(t.info)
	return nil
}

// replaceTarget adds a target and lets another leave.
func (s *soak) replaceTarget(id string, random *rand.Rand) {
	if s.addTarget(id) != nil {
		return // the addresses are used up: the targets there are stay
	}
	s.mu.Lock()
	leaving := s.targets[random.IntN(len(s.targets)-1)]
	s.mu.Unlock()
	info := leaving.info
	info.State = roster.StateDraining
	s.store.PublishTarget(info)
	s.judge.draining(info.ID, time.Now())
	time.Sleep(drainTime)
	s.store.RemoveTarget(info.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, t := range s.targets {
		if t == leaving {
			s.targets = append(s.targets[:i], s.targets[i+1:]...)
			break
		}
	}
}

func (s *soak) anyTarget(random *rand.Rand) *target {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.targets[random.IntN(len(s.targets))]
}

func (s *soak) count(fault string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults[fault]++
}

func (s *soak) report() *Report {
	report := &Report{Seed: s.options.Seed, Faults: s.faults, Violations: s.judge.judge(s.options.CheckTimeBounds)}
	for _, a := range s.judge.attempts {
		report.Requests++
		if a.status == statusServed {
			report.Served++
		}
	}
	return report
}

// sleep waits and reports whether the context lasted.
func sleep(ctx context.Context, wait time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(wait):
		return true
	}
}
