package proxy

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// ask is one request as its caller knows it.
type ask struct {
	number   int
	id       string
	method   string
	path     string
	once     bool
	vm       int
	start    time.Time
	deadline time.Duration
	// suspended is the VM's suspended time when the ask was sent.
	suspended time.Duration
	ended     time.Time
	told      seen
}

// run is one run of a request on a target.
type run struct {
	id string
	at time.Time
}

// oracle knows what targets ran and what callers were told, and nothing else.
type oracle struct {
	world *world

	mu         sync.Mutex
	asks       []*ask
	runs       []run
	perAsk     map[int]int
	crashes    map[string]int
	violations []string
}

func (o *oracle) violate(format string, arguments ...any) {
	o.violations = append(o.violations, fmt.Sprintf(format, arguments...))
}

// ran records a run and checks that none runs twice or too late.
func (o *oracle) ran(request *http.Request, id string, from net.Addr) {
	o.mu.Lock()
	defer o.mu.Unlock()
	number, _ := strconv.Atoi(request.Header.Get(askHeader))
	asked := o.asks[number]
	for _, earlier := range o.runs {
		if asked.once && earlier.id == id {
			o.violate("%s ran twice", id)
		}
	}
	o.runs = append(o.runs, run{id, time.Now()})
	o.perAsk[number]++
	vm := o.world.fleet.all()[asked.vm]
	if ip, _, _ := net.SplitHostPort(from.String()); ip == vmIP(asked.vm) {
		elapsed := time.Since(asked.start) + time.Duration(vm.clock.jump.Load()) - asked.suspended
		if vm.alive.Load() && elapsed > asked.deadline {
			o.violate("ask %d of %s ran %s after its start, deadline %s", number, id, elapsed, asked.deadline)
		}
	}
}

// crashed counts the crashes that the VM could hear of.
func (o *oracle) crashed(id string, target int, from net.Addr) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for vm := range fuzzVMs {
		if ip, _, _ := net.SplitHostPort(from.String()); ip == vmIP(vm) && o.world.cut[[2]int{target, vm}] {
			return
		}
	}
	if o.crashes[id]++; o.crashes[id] > 2 {
		o.violate("%s crashed %d targets", id, o.crashes[id])
	}
}

// tell records what a caller was told and checks it.
func (o *oracle) tell(a *ask, told seen) {
	o.mu.Lock()
	defer o.mu.Unlock()
	a.told, a.ended = told, time.Now()
	if took := a.ended.Sub(a.start); took > a.deadline+replyGrace {
		o.violate("ask %d of %s took %s, deadline %s", a.number, a.id, took, a.deadline)
	}
	result := told.header.Get(OutcomeHeader)
	if result == "answered" && told.err == nil && (told.status != 200 || told.body != expected(a.path, a.id)) {
		o.violate("ask %d of %s was answered %d %.40q", a.number, a.id, told.status, told.body)
	}
	if result == "not_run" && a.once {
		for _, earlier := range o.runs {
			if earlier.id == a.id && earlier.at.Before(a.start) {
				o.violate("ask %d of %s was told not_run after a run", a.number, a.id)
			}
		}
	}
}

// check returns the violations, those of runs after not_run included.
func (o *oracle) check() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	found := append([]string(nil), o.violations...)
	for _, a := range o.asks {
		if a.told.header.Get(OutcomeHeader) == "not_run" && o.perAsk[a.number] > 0 {
			found = append(found, fmt.Sprintf("ask %d of %s was told not_run, but ran", a.number, a.id))
		}
	}
	return found
}

// unfinished returns the asks whose callers wait still.
func (o *oracle) unfinished() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	count := 0
	for _, a := range o.asks {
		if a.ended.IsZero() {
			count++
		}
	}
	return count
}

// count adds up what callers were told.
func (o *oracle) count(tally map[string]int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, a := range o.asks {
		told := a.told.header.Get(OutcomeHeader)
		if told == "" {
			told = "nothing"
		}
		tally[told]++
	}
	tally["runs"] += len(o.runs)
}
