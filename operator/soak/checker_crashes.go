package soak

import (
	"slices"
	"time"
)

const (
	// allowedCrashes is the number of targets that a request may crash before it must
	// be stopped.
	allowedCrashes = 3
	// allowedLateCrashes is the number of further targets that it may reach, from
	// undisturbed daemons, later than StabilityTime after the last allowed crash.
	allowedLateCrashes = 3
	// quarantineWait is the Retry-After from which a refusal can only be that of a request
	// that crashes targets.
	quarantineWait = 20 * time.Second
)

// soundRefusal is a refusal of a sound request on the path of one that crashes targets.
type soundRefusal struct {
	path       string
	vm         int
	at         time.Time
	retryAfter time.Duration
}

// recordSoundRefusal records that a daemon refused a sound request.
func (c *checker) recordSoundRefusal(refusal soundRefusal) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.soundRefusals = append(c.soundRefusals, refusal)
}

// checkSoundRefusals checks that sound requests are not refused for those that crash
// targets.
func (c *checker) checkSoundRefusals() {
	for _, refusal := range c.soundRefusals {
		if refusal.retryAfter >= quarantineWait {
			c.addViolation(PromiseSoundNotRefused, refusal.at, "sound request %s was refused by VM %d for %v", refusal.path, refusal.vm, refusal.retryAfter)
		}
	}
}

// recordCrashingRequest records to which daemon a request that crashes targets was
// sent.
func (c *checker) recordCrashingRequest(id string, vm int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.crashingVMs[id] = vm
}

// recordCrash records the execution that crashed a target, by the request's path.
func (c *checker) recordCrash(path string, r run) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.crashes[path] = append(c.crashes[path], r)
}

// checkCrashes checks that requests that crash their targets are stopped.
func (c *checker) checkCrashes() {
	for path, runs := range c.crashes {
		late := c.lateCrashes(runs)
		if len(late) > allowedLateCrashes {
			c.addViolation(PromiseCrashingStopped, late[0].at, "request %s crashed %d targets, %d of them later than %v after the third crash", path, len(runs), len(late), StabilityTime)
		}
	}
}

// lateCrashes returns the runs that came through undisturbed daemons later than
// StabilityTime after the last allowed crash.
func (c *checker) lateCrashes(runs []run) []run {
	if len(runs) <= allowedCrashes {
		return nil
	}
	slices.SortFunc(runs, func(a, b run) int { return a.at.Compare(b.at) })
	bound := runs[allowedCrashes-1].at.Add(StabilityTime)
	var late []run
	for _, r := range runs[allowedCrashes:] {
		if vm, known := c.crashingVMs[r.requestID]; known && r.at.After(bound) && c.undisturbed(vm, r.at.Add(-time.Millisecond), r.at) {
			late = append(late, r)
		}
	}
	return late
}
