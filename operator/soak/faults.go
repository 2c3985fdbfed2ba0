package soak

import (
	"context"
	"math/rand/v2"
	"strconv"
	"syscall"
	"time"
)

// Times and shares of the fault schedule.
const (
	minFaultTime, maxFaultTime = 300 * time.Millisecond, 3 * time.Second
	minGap, maxGap             = 200 * time.Millisecond, 2 * time.Second
	// stalledTime is how long callers may still use a connection that its link has
	// stalled.
	stalledTime = 15 * time.Second
	// drainTime is how long a draining target stays published before it is removed.
	drainTime = 4 * time.Second
	// minTargets is the minimum number of targets of a run.
	minTargets = 4
	// massKillOneIn: one in this many kills hits half of the daemons at once.
	massKillOneIn = 5
	// minSignalGap and maxSignalGap bound the time between two signals during a planned stop.
	minSignalGap, maxSignalGap = 300 * time.Millisecond, 2500 * time.Millisecond
	// quietStopOneIn: at one in this many planned stops no signal is repeated.
	quietStopOneIn = 3
)

// series draws and injects faults of one kind, one after another. Several series
// run concurrently, each with a random stream of its own.
type series struct {
	soak   *soak
	random *rand.Rand
}

func (s *soak) series(stream uint64) *series {
	return &series{soak: s, random: rand.New(rand.NewPCG(s.options.Seed, stream))}
}

func (s *series) drawDuration(lower, upper time.Duration) time.Duration {
	return lower + time.Duration(s.random.Int64N(int64(upper-lower)))
}

// repeat injects faults, with random gaps between them, until the context ends.
func (s *series) repeat(ctx context.Context, fault func()) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(s.drawDuration(minGap, maxGap)):
			fault()
		}
	}
}

// drawVM draws a daemon. It prefers the daemon of the latest request: the directory
// gives callers only a few daemons.
func (s *series) drawVM() *vm {
	const randomOneIn = 3 // one draw in three takes any daemon, the others that of the latest request
	if latest, ok := s.soak.checker.latestVM(); ok && s.random.IntN(randomOneIn) > 0 {
		return s.soak.fleet.vms[latest]
	}
	return s.soak.fleet.vms[s.random.IntN(len(s.soak.fleet.vms))]
}

// disturbProcess disturbs a daemon by signals.
func (s *series) disturbProcess() {
	v := s.drawVM()
	if !v.processFault.TryLock() {
		return // another series is disturbing this process
	}
	defer v.processFault.Unlock()
	s.soak.countFault("process")
	switch s.random.IntN(5) {
	case 0:
		s.kill(v)
	case 1:
		s.pause(v)
	case 2, 3:
		s.stop(v)
	case 4:
		s.reload(v)
	}
}

// kill kills a daemon, in one of massKillOneIn cases together with half of the
// fleet, and starts the killed daemons again.
func (s *series) kill(v *vm) {
	killed := []*vm{v}
	if s.random.IntN(massKillOneIn) == 0 {
		for _, other := range s.soak.fleet.vms[:len(s.soak.fleet.vms)/2] {
			if other != v && other.processFault.TryLock() {
				defer other.processFault.Unlock()
				killed = append(killed, other)
			}
		}
	}
	downtime := s.drawDuration(minFaultTime, maxFaultTime)
	for _, v := range killed {
		s.soak.checker.recordInterruption(v.index, time.Now(), time.Now().Add(downtime+startupTime))
		v.signal(syscall.SIGKILL)
	}
	for _, v := range killed {
		s.soak.fleet.restart(v, downtime/time.Duration(len(killed)))
	}
}

// pause suspends a daemon by SIGSTOP for a while.
func (s *series) pause(v *vm) {
	from := time.Now()
	v.signal(syscall.SIGSTOP)
	time.Sleep(s.drawDuration(minFaultTime, maxFaultTime))
	v.signal(syscall.SIGCONT)
	s.soak.checker.recordInterruption(v.index, from, time.Now())
}

// stopBusy stops a daemon as planned, mostly that of the latest execution at a target: few
// daemons send requests to targets, the others forward to these.
func (s *series) stopBusy() {
	const randomOneIn = 3 // one draw in three takes any daemon, which mostly forwards
	v := s.soak.fleet.vms[s.random.IntN(len(s.soak.fleet.vms))]
	if sender, ok := s.soak.checker.latestSender(); ok && s.random.IntN(randomOneIn) > 0 {
		v = s.soak.fleet.vms[sender]
	}
	if !v.processFault.TryLock() {
		return // another series stops it
	}
	defer v.processFault.Unlock()
	s.soak.countFault("stop")
	s.stop(v)
}

// stop stops a daemon as planned, by SIGTERM, mostly while it has long requests in progress and
// while callers with old directory responses go on coming, and starts it again.
func (s *series) stop(v *vm) {
	s.soak.sendLateAtStop(v)
	s.soak.sendLongAtStop(v)
	from := time.Now()
	v.signal(syscall.SIGTERM)
	s.repeatSignals(v)
	s.soak.checker.recordStop(v.index, from, time.Now())
	s.soak.fleet.restart(v, s.drawDuration(0, minFaultTime))
}

// repeatSignals repeats SIGTERM, and sends SIGHUP, until a daemon that got SIGTERM has exited; at one
// stop in quietStopOneIn it only waits. Neither may shorten the stop.
func (s *series) repeatSignals(v *vm) {
	if s.random.IntN(quietStopOneIn) == 0 {
		v.waitForExit()
		return
	}
	for !v.exitedWithin(s.drawDuration(minSignalGap, maxSignalGap)) {
		repeated := syscall.SIGTERM
		if s.random.IntN(2) == 0 {
			repeated = syscall.SIGHUP
		}
		v.signal(repeated)
	}
}

// reload changes the settings file and in half of the cases sends SIGHUP, on which
// the daemon reads the file again.
func (s *series) reload(v *vm) {
	v.mu.Lock()
	v.settings.Retries.Ratio = 0.1 + 0.2*s.random.Float64()
	v.mu.Unlock()
	if err := v.writeSettings(); err != nil {
		s.soak.checker.recordUnexpectedExit(v.index, time.Now(), err)
		return
	}
	if s.random.IntN(2) == 0 {
		v.signal(syscall.SIGHUP)
	}
}

// disturbCallersLink disturbs the link between callers and a daemon.
func (s *series) disturbCallersLink() {
	v := s.drawVM()
	s.soak.countFault("callers' link")
	from := time.Now()
	switch s.random.IntN(3) {
	case 0:
		v.callersLink.resetAll()
		s.soak.checker.recordDisturbance(v.index, from, time.Now())
	case 1:
		v.callersLink.stallAll()
		s.soak.checker.recordDisturbance(v.index, from, time.Now().Add(stalledTime))
	default:
		s.disturbLink(v.callersLink)
		s.soak.checker.recordDisturbance(v.index, from, time.Now())
	}
}

// disturbLink sets a random fault on a link for a while.
func (s *series) disturbLink(l *link) {
	faults := []linkFault{linkDelayed, linkDropsRequests, linkDropsResponses, linkDropsBoth}
	l.setFault(faults[s.random.IntN(len(faults))])
	time.Sleep(s.drawDuration(minFaultTime, maxFaultTime))
	l.setFault(linkHealthy)
}

// cutStore disconnects one daemon, or all daemons, from the store: either by dropping
// all traffic or by stalling the open connections.
func (s *series) cutStore() {
	s.soak.countFault("store")
	cut := []*vm{s.drawVM()}
	if s.random.IntN(3) == 0 {
		cut = s.soak.fleet.vms
	}
	from := time.Now()
	dropAll := s.random.IntN(3) > 0
	for _, v := range cut {
		if !dropAll {
			v.storeLink.stallAll()
			continue
		}
		v.storeLink.setFault(linkDropsBoth)
	}
	time.Sleep(s.drawDuration(minFaultTime, maxFaultTime))
	for _, v := range cut {
		v.storeLink.setFault(linkHealthy)
		s.soak.checker.recordDisturbance(v.index, from, time.Now())
	}
}

// disturbTarget disturbs a target or the link to it.
func (s *series) disturbTarget() {
	t := s.soak.drawTarget(s.random)
	s.soak.countFault("target")
	switch s.random.IntN(4) {
	case 0:
		t.disturb()
		t.link.stallAll()
	case 1:
		s.disturbLink(t.link)
	default:
		t.setFault(targetFault(s.random.IntN(int(targetFaultCount))))
		time.Sleep(s.drawDuration(minFaultTime, maxFaultTime))
		t.setFault(targetHealthy)
	}
}

// changeConfig publishes new routes or replaces a target, which must not disturb
// callers.
func (s *series) changeConfig() {
	s.soak.countFault("planned work")
	if s.random.IntN(2) == 0 {
		s.soak.publish()
		return
	}
	s.soak.replaceTarget("t"+strconv.FormatUint(s.random.Uint64(), 36), s.random)
}
