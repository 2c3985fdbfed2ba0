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
	"github.com/primroseloom/primroseloom/policy/notice"
	"github.com/primroseloom/primroseloom/policy/roster"
)

// Options configures a run.
type Options struct {
	// Seed determines the schedule of faults.
	Seed uint64
	// Duration is how long faults are injected; startup and recovery come on top.
	Duration time.Duration
	// DaemonPath is the path of the daemon's executable.
	DaemonPath string
	// Directory is where the daemons' settings files and logs are written.
	Directory string
	// VMs, Targets and Callers are the number of each.
	VMs, Targets, Callers int
	// CrashingRequests is the number of different requests that crash each target that
	// begins to run them and are sent again and again. SilentCrashShare is the share of
	// these crashes in which the target falls silent instead of closing its connections,
	// and WorkerCrashShare the share in which only the connection of the request ends.
	CrashingRequests                   int
	SilentCrashShare, WorkerCrashShare float64
	// VaryCrashing makes what identifies these requests change from one send to the next,
	// and sends sound requests on the same paths.
	VaryCrashing bool
	// AddressBase is the second byte of the loopback addresses; concurrent runs need
	// different values.
	AddressBase int
	// OtherDaemonPath is the path of a daemon of another build, which half of the VMs run;
	// each restart changes a VM's build. Empty for one build only.
	OtherDaemonPath string
	// PartitionsOnly injects no other fault than partitions of daemons from all targets.
	PartitionsOnly bool
	// StopsOnly injects no other fault than planned stops of daemons.
	StopsOnly bool
	// CheckTimeBounds enables the check of the time-bound promises.
	CheckTimeBounds bool
}

// Report is the result of a run.
type Report struct {
	Seed     uint64 `json:"seed"`
	Requests int    `json:"asked"`
	Served   int    `json:"served"`
	// AcrossStops is the number of executions that ended during a planned stop of an
	// undisturbed daemon and had to end with a response.
	AcrossStops int            `json:"across_stops"`
	Faults      map[string]int `json:"faults"`
	Violations  []Violation    `json:"violations"`
}

const (
	// settleTime is how long the fleet runs before the first fault.
	settleTime = 4 * time.Second
	// recoveredLoadTime is how long load continues after recoveryTime, by which the
	// fleet must have recovered.
	recoveredLoadTime = 3 * time.Second
	// maxTargetAddresses is the number of loopback addresses for targets in a run.
	maxTargetAddresses = 250
)

const (
	// partitionStream is the random stream of the partitions.
	partitionStream = 11
	// stopStream is the first random stream of the planned stops in a run with nothing else.
	stopStream = 12
	// stopSeries is the number of series of stops in such a run.
	stopSeries = 3
)

// soak is the state of one run.
type soak struct {
	options Options
	checker *checker
	store   *platform.StandInStore
	fleet   *fleet

	// publishing is held while routes are published, which waits while the store is down.
	publishing sync.Mutex

	mu      sync.Mutex
	ctx     context.Context
	version uint64
	targets []*target
	// links holds the links to all targets, including removed ones.
	links          []*link
	targetsStarted int
	faults         map[string]int
	// partitions holds the partitions of daemons from all targets, by source address.
	partitions map[string]partition
	// crashRandom draws how targets crash.
	crashRandom *rand.Rand
}

// Run executes one run and reports the broken promises. It returns an error only
// if the run could not be completed.
func Run(ctx context.Context, options Options) (*Report, error) {
	if options.VMs < 2 || options.Targets < minTargets || options.Callers < 1 {
		return nil, fmt.Errorf("a soak needs at least 2 VMs, %d targets and 1 caller", minTargets)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s := &soak{
		options: options, checker: newChecker(time.Now()), store: platform.NewStandInStore(), ctx: ctx,
		faults: make(map[string]int), partitions: make(map[string]partition), crashRandom: rand.New(rand.NewPCG(options.Seed, crashStream)),
	}
	if err := s.start(ctx); err != nil {
		return nil, err
	}
	defer s.stop()
	loadCtx, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	var load sync.WaitGroup
	for i := range options.Callers {
		c := newCaller("c"+strconv.Itoa(i), options.Seed+uint64(i), s.fleet, s.checker, s.newestVersion)
		load.Go(func() { c.run(loadCtx) })
	}
	for i := range rowCallers {
		c := s.newRowCaller(i)
		load.Go(func() { c.run(loadCtx) })
	}
	for i := range longCallers {
		c := s.newLongCaller("long"+strconv.Itoa(i), longStream+uint64(i))
		load.Go(func() { c.run(loadCtx) })
	}
	for i := range s.keyedCallerCount() {
		c := s.newKeyedCaller(i)
		load.Go(func() { c.run(loadCtx) })
	}
	for i := range options.CrashingRequests {
		c := s.newCrashingCaller(i)
		load.Go(func() { c.run(loadCtx) })
		if beside, ok := s.newSoundCaller(i); ok {
			load.Go(func() { beside.run(loadCtx) })
		}
	}
	if !sleep(ctx, settleTime) {
		return nil, errors.New("the soak was canceled")
	}
	s.injectFaults(ctx)
	s.checker.recordEndOfFaults(time.Now())
	completed := sleep(ctx, recoveryTime+recoveredLoadTime)
	stopLoad()
	load.Wait()
	if !completed {
		return nil, errors.New("the soak was canceled")
	}
	return s.report(), nil
}

// start starts the store, the targets and the daemons.
func (s *soak) start(ctx context.Context) error {
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
	s.publishOthers()
	s.publish()
	s.fleet, err = newFleet(ctx, s.options, listener.Addr().String(), s.checker)
	return err
}

// stop stops the daemons and closes the links, so that another run can use their
// addresses.
func (s *soak) stop() {
	s.fleet.stopAll()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.links {
		l.close()
	}
	for _, v := range s.fleet.vms {
		v.callersLink.close()
		v.storeLink.close()
	}
}

// injectFaults runs all series of faults until Options.Duration has passed.
func (s *soak) injectFaults(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, s.options.Duration)
	defer cancel()
	var running sync.WaitGroup
	start := func(stream uint64, fault func(*series) func()) {
		faults := s.series(stream)
		running.Go(func() { faults.repeat(ctx, fault(faults)) })
	}
	if s.options.PartitionsOnly {
		start(partitionStream, func(faults *series) func() { return faults.partitionDaemons })
		running.Wait()
		return
	}
	if s.options.StopsOnly {
		for i := range stopSeries {
			start(uint64(stopStream+i), func(faults *series) func() { return faults.stopBusy })
		}
		running.Wait()
		return
	}
	start(1, func(faults *series) func() { return faults.disturbProcess })
	start(2, func(faults *series) func() { return faults.disturbProcess })
	start(3, func(faults *series) func() { return faults.disturbCallersLink })
	start(4, func(faults *series) func() { return faults.cutStore })
	start(5, func(faults *series) func() { return faults.disturbTarget })
	start(6, func(faults *series) func() { return faults.disturbTarget })
	start(7, func(faults *series) func() { return faults.changeConfig })
	start(8, func(faults *series) func() { return faults.restoreStore })
	start(9, func(faults *series) func() { return faults.limitTargets })
	start(10, func(faults *series) func() { return faults.pauseTarget })
	start(historyStream, func(faults *series) func() { return faults.discardHistory })
	start(partitionStream, func(faults *series) func() { return faults.partitionDaemons })
	running.Wait()
}

// publish publishes the next version of the routes.
func (s *soak) publish() {
	s.publishing.Lock()
	defer s.publishing.Unlock()
	next := s.newestVersion() + 1
	s.store.PublishRoutes(routesOf(next), s.customersOf(next)...)
	s.checker.recordPublication(next, time.Now())
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version = next
}

// routesOf returns a version of the routes. Each version has routes of its own, which
// replace those of the previous version.
func routesOf(version uint64) routing.Document {
	name := strconv.FormatUint(version, 10)
	route := func(prefix string, kind routing.Kind, timeout time.Duration) routing.Route {
		return routing.Route{
			Name: prefix, Host: host, Prefix: prefix, Kind: kind, Timeout: timeout,
			Objective: timeout / 2, Priority: 1, MaxAttempts: 2, Split: []routing.Share{{Service: service, Weight: 1}},
			Public: prefix != keyedPrefix,
		}
	}
	return routing.Document{
		Version:  version,
		Services: []routing.Service{{Name: service, MaxConnections: 330}},
		Limits:   routing.Limits{HeaderBytes: 16 << 10, BodyBytes: 64 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
		Routes: []routing.Route{
			route("/book"+name+"/", routing.KindOnce, routeTimeout), route("/look"+name+"/", routing.KindIdempotent, routeTimeout),
			route("/reserve"+name+"/", routing.KindOnce, reserveTimeout), route("/report"+name+"/", routing.KindIdempotent, reserveTimeout),
			route(crashOncePrefix, routing.KindOnce, routeTimeout), route(crashPrefix, routing.KindIdempotent, routeTimeout),
			route(keyedPrefix, routing.KindOnce, routeTimeout),
		},
	}
}

func (s *soak) newestVersion() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
}

// addTarget starts and publishes a target.
func (s *soak) addTarget(id string) error {
	s.mu.Lock()
	addressIndex := s.targetsStarted
	s.targetsStarted++
	s.mu.Unlock()
	if addressIndex >= maxTargetAddresses {
		return errors.New("all loopback addresses for targets are used up")
	}
	t, err := newTarget(s.ctx, id, address(s.options.AddressBase, kindTargetLink, addressIndex, portCallers), zoneOf(addressIndex), s.checker)
	if err != nil {
		return err
	}
	t.crash = s.crash
	s.mu.Lock()
	s.targets = append(s.targets, t)
	s.links = append(s.links, t.link)
	for source, p := range s.partitions {
		t.link.setPartition(source, p)
	}
	s.mu.Unlock()
	s.store.PublishTarget(t.report())
	return nil
}

// replaceTarget adds a target, then drains and removes another one, which says that it
// leaves in its responses, too, at times before it publishes that. It does nothing if all
// target addresses are used up.
func (s *soak) replaceTarget(id string, random *rand.Rand) {
	if s.addTarget(id) != nil {
		return // no address is left; keep the current targets
	}
	s.mu.Lock()
	leaving := s.targets[random.IntN(len(s.targets)-1)]
	s.mu.Unlock()
	leaving.say(func(said *notice.Notice) { said.IsLeaving = true })
	time.Sleep(time.Duration(random.Int64N(int64(maxSilentLeaving))))
	leaving.mu.Lock()
	leaving.info.State = roster.StateDraining
	leaving.mu.Unlock()
	info := leaving.report()
	s.store.PublishTarget(info)
	s.checker.recordDrain(info.ID, time.Now())
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

func (s *soak) drawTarget(random *rand.Rand) *target {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.targets[random.IntN(len(s.targets))]
}

func (s *soak) countFault(fault string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults[fault]++
}

func (s *soak) report() *Report {
	report := &Report{Seed: s.options.Seed, Faults: s.faults, Violations: s.checker.check(s.options.CheckTimeBounds)}
	report.AcrossStops = s.checker.finishedAcrossStops
	for _, request := range s.checker.requests {
		report.Requests++
		if request.status == statusServed {
			report.Served++
		}
	}
	return report
}

// sleep waits and reports whether the full time passed before the context ended.
func sleep(ctx context.Context, wait time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(wait):
		return true
	}
}
