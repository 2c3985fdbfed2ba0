package measure

import (
	"slices"

	"github.com/primroseloom/primroseloom/policy/health"
)

// toggleFault starts or ends a fault and schedules its next change.
func (e *engine) toggleFault(index int) {
	fault := e.faults[index]
	fault.on = !fault.on && e.now < fault.end
	e.applyFault(fault)
	e.record.recordFault(e, fault)
	if e.now >= fault.end {
		return
	}
	next := fault.end
	if fault.Period > 0 {
		next = min(next, e.now+fault.Period.Std()/2)
	}
	e.queue.add(event{at: next, kind: eventFault, index: index})
}

// applyFault applies the start or the end of a fault.
func (e *engine) applyFault(fault *activeFault) {
	switch fault.Kind {
	case FaultPartitionVM, FaultPartitionZone:
		e.applyPartitions()
	case FaultVMDies, FaultVMPauses:
		e.stopVMs(fault)
	case FaultCustomerSurge:
		e.rateFactor[fault.Customer] = 1
		if fault.on {
			e.rateFactor[fault.Customer] = fault.Factor
		}
	case FaultCustomerErrors:
		e.customerErrorShare[fault.Customer] = 0
		if fault.on {
			e.customerErrorShare[fault.Customer] = fault.share()
		}
	case FaultReconfigure:
		e.reconfigure()
	default:
		e.applyToTargets(fault)
	}
}

// applyToTargets applies the start or the end of a fault to its member targets.
func (e *engine) applyToTargets(fault *activeFault) {
	for i, member := range fault.members {
		if member {
			e.applyToTarget(fault, e.targets[i])
		}
	}
}

// applyToTarget applies the start or the end of a fault to one target.
func (e *engine) applyToTarget(fault *activeFault, target *fakeTarget) {
	on := fault.on
	switch fault.Kind {
	case FaultDead:
		e.kill(target, on)
	case FaultHung:
		e.hang(target, on)
	case FaultSlow:
		e.overloaded = on && fault.Fraction >= 1
		target.slowFactor, target.slowShare = 1, 0
		if on {
			target.slowFactor, target.slowShare = fault.Factor, fault.share()
		}
	case FaultErrors:
		target.failShare = 0
		if on {
			target.failShare = fault.share()
		}
	case FaultWrong:
		target.wrong = on
	case FaultProbeUnhealthy, FaultProbeHealthy:
		target.probeMode = probeModeOf(fault.Kind, on)
	case FaultDrain:
		target.draining = on
		if !on {
			target.coldRequestsLeft = coldRequests
		}
	}
}

func probeModeOf(kind FaultKind, on bool) probeMode {
	switch {
	case !on:
		return probeTruthful
	case kind == FaultProbeUnhealthy:
		return probeUnhealthy
	}
	return probeHealthy
}

// kill marks a target as dead, and resets its attempts, or revives it.
func (e *engine) kill(target *fakeTarget, on bool) {
	target.dead = on
	if !on {
		return
	}
	aborted := slices.Concat(target.running, target.waiting)
	target.running, target.waiting = nil, nil
	for _, run := range aborted {
		e.respond(run, health.Reset)
	}
}

// hang makes a target hang, or lets its hung attempts end.
func (e *engine) hang(target *fakeTarget, on bool) {
	target.hung = on
	if on {
		return
	}
	for _, run := range slices.Clone(target.running) {
		e.queue.add(event{at: max(e.now, run.serviceEnd), kind: eventServiceEnd, attempt: run})
	}
}

// applyPartitions recomputes which responses and messages the active partitions drop.
func (e *engine) applyPartitions() {
	clear(e.messagesBlocked)
	for i := range e.responsesBlocked {
		clear(e.responsesBlocked[i])
	}
	for _, fault := range e.faults {
		if fault.on {
			e.blockResponses(fault)
		}
	}
}

// blockResponses marks the responses and messages that one partition drops.
func (e *engine) blockResponses(fault *activeFault) {
	zones := e.scenario.size.Zones
	for v := range e.vms {
		switch {
		case fault.Kind == FaultPartitionVM && fault.members[v]:
			e.messagesBlocked[v] = true
			for target := range e.targets {
				e.responsesBlocked[v][target] = true
			}
		case fault.Kind == FaultPartitionZone && v%zones == fault.ToZone:
			for target := range e.targets {
				e.responsesBlocked[v][target] = e.responsesBlocked[v][target] || target%zones == fault.FromZone
			}
		}
	}
}

// stopVMs kills or pauses VMs, or resumes paused ones.
func (e *engine) stopVMs(fault *activeFault) {
	for i, member := range fault.members {
		if !member {
			continue
		}
		v := e.vms[i]
		if fault.Kind == FaultVMDies {
			v.dead = v.dead || fault.on
			continue
		}
		v.paused = fault.on
		e.resumeVM(v)
	}
}

// resumeVM schedules the events that a paused VM has missed, except for arrivals:
// requests that arrived during the pause are lost and never end. It does nothing
// while the VM is paused.
func (e *engine) resumeVM(v *vm) {
	if v.paused {
		return
	}
	missed := v.deferred
	v.deferred = nil
	for _, missedEvent := range missed {
		if missedEvent.kind == eventArrival {
			continue
		}
		missedEvent.at = e.now
		e.queue.add(missedEvent)
	}
}

// reconfigure passes slightly changed customer parameters to every VM.
func (e *engine) reconfigure() {
	changed := slices.Clone(e.scenario.Customers)
	for i := range changed {
		if changed[i].Rate > 0 {
			changed[i].Burst += float64(e.random.IntN(2))
		}
	}
	for _, v := range e.vms {
		if admission, ok := v.admission.(Configurer); ok {
			admission.Configure(e.now, changed)
		}
	}
}
