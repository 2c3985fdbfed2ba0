package soak

import (
	"net/http"
	"strings"
	"time"

	"github.com/primroseloom/primroseloom/policy/notice"
	"github.com/primroseloom/primroseloom/policy/roster"
)

const (
	// crashPrefix and crashOncePrefix are the prefixes of the routes, present in all
	// versions, whose requests crash the target that begins to run them.
	crashPrefix, crashOncePrefix = "/crash/", "/crashonce/"
	// crashDowntime is how long a crashed target is down.
	crashDowntime = 2 * time.Second
	// crashStream is the random stream of the kinds of crashes; that of each request
	// that crashes targets follows, and that of each sound request beside one is
	// soundStream and above. The streams of the fault series are below.
	crashStream, soundStream = 100, 1000
)

// crashesTarget reports whether a request crashes the target that begins to run it.
func crashesTarget(r *http.Request) bool {
	isCrashPath := strings.HasPrefix(r.URL.Path, crashPrefix) || strings.HasPrefix(r.URL.Path, crashOncePrefix)
	return isCrashPath && r.URL.RawQuery != soundQuery
}

// crash takes a target down, as a process that ends or, when silent, as a VM that
// loses power, and starts it again after crashDowntime. A crash of a worker ends only the
// connection of the request: another process of the target goes on accepting connections.
func (s *soak) crash(t *target, r *http.Request) {
	t.disturb()
	s.mu.Lock()
	draw := s.crashRandom.Float64()
	s.mu.Unlock()
	if draw >= 1-s.options.WorkerCrashShare {
		s.countFault("worker crash")
		return
	}
	drawn := draw < s.options.SilentCrashShare
	t.mu.Lock()
	alreadyDown := t.down
	if !alreadyDown {
		t.silent = drawn
	}
	silent := t.silent
	t.down = true
	t.mu.Unlock()
	if !alreadyDown {
		s.countFault("target crash")
		t.link.takeDown(silent)
		time.AfterFunc(crashDowntime, func() { s.restartTarget(t) })
	}
	if silent {
		<-r.Context().Done()
	}
}

// restartTarget brings a crashed target back as a new process: under a new
// identifier, or under its own with a later start time.
func (s *soak) restartTarget(t *target) {
	if s.ctx.Err() != nil || t.link.bringUp(s.ctx) != nil {
		return // the run is over, or the address cannot be bound again: the target stays down
	}
	t.mu.Lock()
	t.down, t.disturbedAt = false, time.Now()
	t.restarts++
	before := t.info.ID
	t.info.StartedAt, t.info.Sequence, t.said = time.Now(), 0, notice.Notice{}
	if t.restarts%2 == 0 {
		t.info.ID += "r"
	}
	t.mu.Unlock()
	info := t.report()
	if info.State != roster.StateReady {
		return // it is leaving; its entry is removed soon
	}
	if info.ID != before {
		s.store.RemoveTarget(before)
	}
	s.store.PublishTarget(info)
}
