package soak

import (
	"context"
	"math/rand/v2"
	"strconv"
	"syscall"
	"time"
)

// Times of the schedule.
const (
	shortestFault, longestFault = 300 * time.Millisecond, 3 * time.Second
	shortestPause, longestPause = 200 * time.Millisecond, 2 * time.Second
	// silencedTime is how long callers may go on meeting a connection that its
	// link has silenced.
	silencedTime = 15 * time.Second
	// drainTime is how long a leaving target stays reachable.
	drainTime = 4 * time.Second
	// leastTargets is the number of targets that stay.
	leastTargets = 4
	// massKillOneIn is the share of kills that strike half of the daemons at once.
	massKillOneIn = 5
)

// series draws faults of one sort, one after the other; several run at once.
type series struct {
	run    *soak
	random *rand.Rand
}

func (s *soak) series(sort uint64) *series {
	return &series{run: s, random: rand.New(rand.NewPCG(s.options.Seed, sort))}
}

func (s *series) between(least, most time.Duration) time.Duration {
	return least + time.Duration(s.random.Int64N(int64(most-least)))
}

// repeat carries out faults with pauses until the context ends.
func (s *series) repeat(ctx context.Context, fault func()) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(s.between(shortestPause, longestPause)):
			fault()
		}
	}
}

// vm draws a daemon; most often one that callers use, since they are shown a few.
func (s *series) vm() *vm {
	const usedOf = 3 // two of three are in use
	if latest, ok := s.run.judge.latestVM(); ok && s.random.IntN(usedOf) > 0 {
		return s.run.fleet.vms[latest]
	}
	return s.run.fleet.vms[s.random.IntN(len(s.run.fleet.vms))]
}

// process disturbs a daemon by signals.
func (s *series) process() {
	v := s.vm()
	if !v.busy.TryLock() {
		return // another series is at it
	}
	defer v.busy.Unlock()
	s.run.count("process")
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

// kill kills a daemon, at times half of the others with it, and starts them again.
func (s *series) kill(v *vm) {
	killed := []*vm{v}
	if s.random.IntN(massKillOneIn) == 0 {
		for _, other := range s.run.fleet.vms[:len(s.run.fleet.vms)/2] {
			if other != v && other.busy.TryLock() {
				defer other.busy.Unlock()
				killed = append(killed, other)
			}
		}
	}
	down := s.between(shortestFault, longestFault)
	for _, one := range killed {
		s.run.judge.disturb(one.index, time.Now(), time.Now().Add(down+startTime))
		one.signal(syscall.SIGKILL)
	}
	for _, one := range killed {
		s.run.fleet.restart(one, down/time.Duration(len(killed)))
	}
}

// pause suspends a daemon.
func (s *series) pause(v *vm) {
	from := time.Now()
	v.signal(syscall.SIGSTOP)
	time.Sleep(s.between(shortestFault, longestFault))
	v.signal(syscall.SIGCONT)
	s.run.judge.disturb(v.index, from, time.Now())
}

// stop is a planned stop and a new start.
func (s *series) stop(v *vm) {
	from := time.Now()
	v.signal(syscall.SIGTERM)
	v.wait()
	s.run.judge.stopped(v.index, from, time.Now())
	s.run.fleet.restart(v, s.between(0, shortestFault))
}

// reload changes the settings file, with a signal or without one.
func (s *series) reload(v *vm) {
	v.mu.Lock()
	v.set.Retries.Ratio = 0.1 + 0.2*s.random.Float64()
	v.mu.Unlock()
	if err := v.writeSettings(); err != nil {
		s.run.judge.exited(v.index, time.Now(), err)
		return
	}
	if s.random.IntN(2) == 0 {
		v.signal(syscall.SIGHUP)
	}
}

// callersLink disturbs the way between callers and a daemon.
func (s *series) callersLink() {
	v := s.vm()
	s.run.count("callers' link")
	from := time.Now()
	switch s.random.IntN(3) {
	case 0:
		v.callers.resetAll()
		s.run.judge.disturb(v.index, from, time.Now())
	case 1:
		v.callers.silenceAll()
		s.run.judge.disturb(v.index, from, time.Now().Add(silencedTime))
	default:
		s.disturbLink(v.callers)
		s.run.judge.disturb(v.index, from, time.Now())
	}
}

// disturbLink puts one of the lasting faults on a link for a while.
func (s *series) disturbLink(l *link) {
	faults := []linkFault{linkDelayed, linkDropsRequests, linkDropsAnswers, linkDropsBoth}
	l.set(faults[s.random.IntN(len(faults))])
	time.Sleep(s.between(shortestFault, longestFault))
	l.set(linkHealthy)
}

// storeLink cuts one daemon, or all, from the store.
func (s *series) storeLink() {
	s.run.count("store")
	cut := []*vm{s.vm()}
	if s.random.IntN(3) == 0 {
		cut = s.run.fleet.vms
	}
	from := time.Now()
	lasting := s.random.IntN(3) > 0
	for _, v := range cut {
		if !lasting {
			v.store.silenceAll()
			continue
		}
		v.store.set(linkDropsBoth)
	}
	time.Sleep(s.between(shortestFault, longestFault))
	for _, v := range cut {
		v.store.set(linkHealthy)
		s.run.judge.disturb(v.index, from, time.Now())
	}
}

// targetFault makes a target, or the way to it, misbehave.
func (s *series) targetFault() {
	t := s.run.anyTarget(s.random)
	s.run.count("target")
	switch s.random.IntN(4) {
	case 0:
		t.link.silenceAll()
	case 1:
		s.disturbLink(t.link)
	default:
		t.set(targetFault(s.random.IntN(int(targetFaults))))
		time.Sleep(s.between(shortestFault, longestFault))
		t.set(targetHealthy)
	}
}

// operate is planned work: new routes, and targets that come and go.
func (s *series) operate() {
	s.run.count("planned work")
	if s.random.IntN(2) == 0 {
		s.run.publish()
		return
	}
	s.run.replaceTarget("t"+strconv.FormatUint(s.random.Uint64(), 36), s.random)
}
