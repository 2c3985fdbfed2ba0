package proxy

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// callerRequest is one request as its caller sent it, and the response.
type callerRequest struct {
	index      int
	id         string
	method     string
	path       string
	atMostOnce bool
	vm         int
	start      time.Time
	deadline   time.Duration
	// suspendedAtStart is the VM's suspended time when the request was sent.
	suspendedAtStart time.Duration
	endedAt          time.Time
	response         callerResponse
}

// run is one run of a request on a target.
type run struct {
	id string
	at time.Time
}

// oracle records which requests targets ran and which responses callers got, and
// checks the promises against these records alone.
type oracle struct {
	world *world

	mu             sync.Mutex
	requests       []*callerRequest
	runs           []run
	runsPerRequest map[int]int
	crashes        map[string]int
	violations     []string
}

func (o *oracle) addViolation(format string, arguments ...any) {
	o.violations = append(o.violations, fmt.Sprintf(format, arguments...))
}

// recordRun records a run and checks that no request runs twice or after its
// deadline.
func (o *oracle) recordRun(request *http.Request, id string, from net.Addr) {
	o.mu.Lock()
	defer o.mu.Unlock()
	index, _ := strconv.Atoi(request.Header.Get(requestIndexHeader))
	origin := o.requests[index]
	for _, earlier := range o.runs {
		if origin.atMostOnce && earlier.id == id {
			o.addViolation("%s ran twice", id)
		}
	}
	o.runs = append(o.runs, run{id, time.Now()})
	o.runsPerRequest[index]++
	vm := o.world.fleet.currentVMs()[origin.vm]
	if ip, _, _ := net.SplitHostPort(from.String()); ip == vmIP(origin.vm) {
		elapsed := time.Since(origin.start) + time.Duration(vm.clock.suspended.Load()) - origin.suspendedAtStart
		if vm.alive.Load() && elapsed > origin.deadline {
			o.addViolation("request %d (id %s) ran %s after its start, deadline %s", index, id, elapsed, origin.deadline)
		}
	}
}

// recordCrash counts a crash, unless the link from the target to the VM is
// blocked: then the VM can't notice it.
func (o *oracle) recordCrash(id string, target int, from net.Addr) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for vm := range fuzzVMs {
		if ip, _, _ := net.SplitHostPort(from.String()); ip == vmIP(vm) && o.world.blockedLinks[[2]int{target, vm}] {
			return
		}
	}
	if o.crashes[id]++; o.crashes[id] > 2 {
		o.addViolation("%s crashed %d targets", id, o.crashes[id])
	}
}

// recordResponse records the response that a caller got and checks it.
func (o *oracle) recordResponse(a *callerRequest, response callerResponse) {
	o.mu.Lock()
	defer o.mu.Unlock()
	a.response, a.endedAt = response, time.Now()
	if elapsed := a.endedAt.Sub(a.start); elapsed > a.deadline+replyGrace {
		o.addViolation("request %d (id %s) took %s, deadline %s", a.index, a.id, elapsed, a.deadline)
	}
	result := response.header.Get(OutcomeHeader)
	if result == "answered" && response.err == nil && (response.status != 200 || response.body != expectedBody(a.path, a.id)) {
		o.addViolation("request %d (id %s) got the wrong response %d %.40q", a.index, a.id, response.status, response.body)
	}
	if result == "not_run" && a.atMostOnce {
		for _, earlier := range o.runs {
			if earlier.id == a.id && earlier.at.Before(a.start) {
				o.addViolation("request %d (id %s) got not_run although the id had run before", a.index, a.id)
			}
		}
	}
}

// check returns the violations so far. It includes requests that were reported
// as not_run but ran, also when they ran afterwards.
func (o *oracle) check() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	violations := append([]string(nil), o.violations...)
	for _, a := range o.requests {
		if a.response.header.Get(OutcomeHeader) == "not_run" && o.runsPerRequest[a.index] > 0 {
			violations = append(violations, fmt.Sprintf("request %d (id %s) got not_run but ran", a.index, a.id))
		}
	}
	return violations
}

// unfinished returns the number of requests without a response.
func (o *oracle) unfinished() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	count := 0
	for _, a := range o.requests {
		if a.endedAt.IsZero() {
			count++
		}
	}
	return count
}

// countOutcomes adds the outcomes that callers got and the number of runs to the
// counts.
func (o *oracle) countOutcomes(counts map[string]int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, a := range o.requests {
		result := a.response.header.Get(OutcomeHeader)
		if result == "" {
			result = "nothing"
		}
		counts[result]++
	}
	counts["runs"] += len(o.runs)
}
