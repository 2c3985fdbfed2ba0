package measure

import (
	"slices"

	"github.com/primroseloom/primroseloom/policy/health"
)

// toggle starts or ends a fault and schedules its next change.
func (e *engine) toggle(index int) {
	fault := e.faults[index]
	fault.on = !fault.on && e.now < fault.end
	e.apply(fault)
	e.record.fault(e, fault)
	if e.now >= fault.end {
		return
	}
	next := fault.end
	if fault.Period > 0 {
		next = min(next, e.now+fault.Period.Std()/2)
	}
	e.queue.add(event{at: next, kind: eventFault, index: index})
}

// apply puts a fault into effect, or ends it.
func (e *engine) apply(fault *activeFault) {
	switch fault.Kind {
	case FaultPartitionVM, FaultPartitionZone:
		e.partition()
	case FaultVMDies, FaultVMPauses:
		e.stopVMs(fault)
	case FaultCustomerSurge:
		e.surge[fault.Customer] = 1
		if fault.on {
			e.surge[fault.Customer] = fault.Factor
		}
	case FaultCustomerErrors:
		e.failing[fault.Customer] = 0
		if fault.on {
			e.failing[fault.Customer] = fault.share()
		}
	case FaultReconfigure:
		e.reconfigure()
	default:
		e.applyToTargets(fault)
	}
}

// applyToTargets changes the members of a fault of targets.
func (e *engine) applyToTargets(fault *activeFault) {
	for i, member := range fault.members {
		if member {
			e.applyToTarget(fault, e.targets[i])
		}
	}
}

// applyToTarget changes one target.
func (e *engine) applyToTarget(fault *activeFault, target *fakeTarget) {
	on := fault.on
	switch fault.Kind {
	case FaultDead:
		e.kill(target, on)
	case FaultHung:
		e.hang(target, on)
	case FaultSlow:
		e.overloaded = on && fault.Fraction >= 1
		target.slow, target.slowPart = 1, 0
		if on {
			target.slow, target.slowPart = fault.Factor, fault.share()
		}
	case FaultErrors:
		target.failPart = 0
		if on {
			target.failPart = fault.share()
		}
	case FaultWrong:
		target.wrong = on
	case FaultProbeUnhealthy, FaultProbeHealthy:
		target.probe = probeAnswerOf(fault.Kind, on)
	case FaultDrain:
		target.leaving = on
		if !on {
			target.coldLeft = coldRequests
		}
	}
}

func probeAnswerOf(kind FaultKind, on bool) probeAnswer {
	switch {
	case !on:
		return probeHonest
	case kind == FaultProbeUnhealthy:
		return probeSick
	}
	return probeHealthy
}

// kill resets what a dying target has in progress.
func (e *engine) kill(target *fakeTarget, on bool) {
	target.dead = on
	if !on {
		return
	}
	lost := slices.Concat(target.running, target.waiting)
	target.running, target.waiting = nil, nil
	for _, f := range lost {
		e.answer(f, health.Reset)
	}
}

// hang freezes a target, or lets what has hung end.
func (e *engine) hang(target *fakeTarget, on bool) {
	target.hung = on
	if on {
		return
	}
	for _, f := range slices.Clone(target.running) {
		e.queue.add(event{at: max(e.now, f.due), kind: eventServiceEnd, attempt: f})
	}
}

// partition works out which answers are lost from all partitions in force.
func (e *engine) partition() {
	clear(e.cutOff)
	for i := range e.blocked {
		clear(e.blocked[i])
	}
	for _, fault := range e.faults {
		if fault.on {
			e.block(fault)
		}
	}
}

// block loses the answers that one partition loses.
func (e *engine) block(fault *activeFault) {
	zones := e.scenario.size.Zones
	for v := range e.vms {
		switch {
		case fault.Kind == FaultPartitionVM && fault.members[v]:
			e.cutOff[v] = true
			for target := range e.targets {
				e.blocked[v][target] = true
			}
		case fault.Kind == FaultPartitionZone && v%zones == fault.ToZone:
			for target := range e.targets {
				e.blocked[v][target] = e.blocked[v][target] || target%zones == fault.FromZone
			}
		}
	}
}

// stopVMs kills or pauses VMs, or wakes paused ones with what came meanwhile.
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
		e.wake(v)
	}
}

// wake delivers the events that a paused VM has missed.
func (e *engine) wake(v *vm) {
	if v.paused {
		return
	}
	missed := v.deferred
	v.deferred = nil
	for _, late := range missed {
		if late.kind == eventArrival {
			continue
		}
		late.at = e.now
		e.queue.add(late)
	}
}

// reconfigure hands every VM the customers with slightly changed parameters.
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
