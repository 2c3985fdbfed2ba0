package measure

import (
	"time"

	"github.com/primroseloom/primroseloom/policy/health"
)

// capacity returns the requests per second that the service serves with every slot in use.
func (e *engine) capacity() float64 {
	size := e.scenario.size
	return float64(size.Targets*size.Slots) / size.MeanTime.Seconds()
}

// scheduleArrival schedules a customer's next request.
func (e *engine) scheduleArrival(customer int) {
	rate := e.capacity() * e.scenario.load * e.scenario.Customers[customer].Share * e.rateFactor[customer]
	wait := time.Duration(e.random.ExpFloat64() / rate * float64(time.Second))
	e.queue.add(event{at: e.now + wait, kind: eventArrival, index: customer})
}

// arrive passes a new request to one of the customer's VMs.
func (e *engine) arrive(customer int) {
	e.scheduleArrival(customer)
	v := e.pickVM(customer)
	if v == nil {
		return
	}
	e.nextID++
	request := &Request{ID: e.nextID, Customer: customer, Arrived: e.now, Deadline: e.now + requestDeadline}
	request.Idempotent = e.random.Float64() < e.scenario.Customers[customer].IdempotentShare
	e.record.countArrival(e, request)
	if v.paused {
		v.deferred = append(v.deferred, event{kind: eventArrival, index: customer})
		return
	}
	if !v.admission.Arrived(e.now, request) {
		e.record.recordRefusal(e, request, "admission")
		return
	}
	e.dispatchQueued(v)
	e.sendMessages(v)
}

// pickVM returns a random live VM of those that serve the customer, or nil;
// callers are assumed to notice a dead VM immediately.
func (e *engine) pickVM(customer int) *vm {
	vms := e.customerVMs[customer]
	first := e.random.IntN(len(vms))
	for i := range vms {
		v := e.vms[vms[(first+i)%len(vms)]]
		if !v.dead {
			return v
		}
	}
	return nil
}

// dispatchQueued sends the VM's queued requests while targets are available, and
// refuses those past their deadline.
func (e *engine) dispatchQueued(v *vm) {
	for {
		request := v.admission.Peek(e.now)
		if request == nil {
			return
		}
		if e.now >= request.Deadline {
			v.admission.Pop(e.now)
			v.admission.Ended(e.now, request, false)
			e.record.recordRefusal(e, request, "deadline")
			continue
		}
		target, trial, ok := e.choose(v, request)
		if !ok {
			return
		}
		v.admission.Pop(e.now)
		v.retrier.Sent(e.now, request)
		e.send(v, request, target, trial)
	}
}

// choose returns the target of a request's first attempt. A trial that Health
// wants takes precedence over the target that Chooser picks.
func (e *engine) choose(v *vm, request *Request) (target int, trial, ok bool) {
	if request.Idempotent && request.Attempts == 0 {
		if target, ok = v.health.NextTrial(e.now); ok {
			return target, true, true
		}
	}
	target, ok = v.chooser.Choose(e.now, request, v.health.Weights(request.Idempotent))
	return target, false, ok
}

// send sends an attempt to its target.
func (e *engine) send(v *vm, request *Request, target int, trial bool) {
	e.nextID++
	request.Attempts++
	run := &attemptRun{vm: v.index, request: request, sent: e.now}
	run.Attempt = Attempt{ID: e.nextID, Target: target, Idempotent: request.Idempotent, Trial: trial}
	v.health.Started(e.now, run.Attempt)
	v.chooser.Started(e.now, target)
	e.record.recordAttempt(e, run)
	e.queue.add(event{at: e.now + e.scenario.size.Delay, kind: eventAtTarget, attempt: run})
}

// arriveAtTarget refuses, serves or queues an attempt at its target.
func (e *engine) arriveAtTarget(run *attemptRun) {
	target := e.targets[run.Target]
	switch {
	case target.dead:
		e.respond(run, health.Refused)
	case target.draining:
		e.respond(run, health.Draining)
	case len(target.running) < target.slots:
		e.startService(target, run)
	case len(target.waiting) >= target.slots*queuePerSlot:
		e.respond(run, health.Shed)
	default:
		target.waiting = append(target.waiting, run)
		e.queue.add(event{at: run.request.Deadline, kind: eventTimeout, index: run.vm, attempt: run})
	}
}

// startService occupies a slot and schedules the end of the service.
func (e *engine) startService(target *fakeTarget, run *attemptRun) {
	target.running = append(target.running, run)
	run.result = e.drawResult(target, run)
	end := e.now + target.drawServiceTime(e.serviceTimes)
	run.serviceEnd = end
	e.queue.add(event{at: end, kind: eventServiceEnd, attempt: run})
	if end > run.request.Deadline || target.hung {
		e.queue.add(event{at: run.request.Deadline, kind: eventTimeout, index: run.vm, attempt: run})
	}
}

// drawResult draws the result of a request that gets served.
func (e *engine) drawResult(target *fakeTarget, run *attemptRun) health.Kind {
	failShare := max(errorShare, target.failShare, e.customerErrorShare[run.request.Customer])
	if target.wrong || e.serviceTimes.random.Float64() < failShare {
		return health.Wrong
	}
	return health.Succeeded
}

// endService frees a slot and sends the response, unless the target hangs.
func (e *engine) endService(run *attemptRun) {
	target := e.targets[run.Target]
	if run.endedAtTarget {
		return
	}
	if target.hung {
		e.queue.add(event{at: run.request.Deadline, kind: eventTimeout, index: run.vm, attempt: run})
		return
	}
	e.release(target, run)
	e.respond(run, run.result)
}

// release frees an attempt's slot or queue position at its target; a freed slot goes to the next in the queue.
func (e *engine) release(target *fakeTarget, run *attemptRun) {
	run.endedAtTarget = true
	if !target.remove(run) || len(target.waiting) == 0 {
		return
	}
	next := target.waiting[0]
	target.waiting = target.waiting[1:]
	e.startService(target, next)
}

// respond sends a response to the VM, unless a partition drops it.
func (e *engine) respond(run *attemptRun, kind health.Kind) {
	run.result = kind
	run.endedAtTarget = true
	if e.responsesBlocked[run.vm][run.Target] {
		e.queue.add(event{at: max(e.now, run.request.Deadline), kind: eventTimeout, index: run.vm, attempt: run})
		return
	}
	e.queue.add(event{at: e.now + e.scenario.size.Delay, kind: eventResponse, index: run.vm, attempt: run})
}

// timeOut ends an attempt at its deadline and cancels it at the target.
func (e *engine) timeOut(v *vm, run *attemptRun) {
	if run.endedAtVM {
		return
	}
	if !run.endedAtTarget {
		e.release(e.targets[run.Target], run)
	}
	e.endAttempt(v, run, health.TimedOut)
}

// endAttempt notifies the deciders of the result and retries or ends the request.
func (e *engine) endAttempt(v *vm, run *attemptRun, kind health.Kind) {
	if run.endedAtVM {
		return
	}
	run.endedAtVM = true
	v.chooser.Ended(e.now, run.Target, kind)
	v.health.Ended(e.now, run.Attempt, kind, e.now-run.sent)
	request := run.request
	if kind == health.Succeeded {
		v.admission.Ended(e.now, request, true)
		e.record.recordAnswer(e, request)
		e.dispatchQueued(v)
		return
	}
	e.retry(v, run, kind)
	e.dispatchQueued(v)
}

// retry sends another attempt when that is safe and allowed; otherwise it ends the request.
func (e *engine) retry(v *vm, run *attemptRun, kind health.Kind) {
	request := run.request
	request.Exclude = append(request.Exclude, run.Target)
	notRun := kind == health.Refused || kind == health.Shed || kind == health.Draining
	safe := (notRun || request.Idempotent) && e.now < request.Deadline
	if safe && v.retrier.Retry(e.now, request, kind) {
		target, ok := v.chooser.Choose(e.now, request, v.health.Weights(request.Idempotent))
		if ok {
			e.send(v, request, target, false)
			return
		}
	}
	v.admission.Ended(e.now, request, false)
	e.record.recordRefusal(e, request, string(kind))
}
