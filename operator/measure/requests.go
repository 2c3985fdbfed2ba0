package measure

import (
	"time"

	"github.com/primroseloom/primroseloom/policy/health"
)

// capacity returns the service's requests a second with every slot in use.
func (e *engine) capacity() float64 {
	size := e.scenario.size
	return float64(size.Targets*size.Slots) / size.MeanTime.Seconds()
}

// nextArrival schedules a customer's next request.
func (e *engine) nextArrival(customer int) {
	rate := e.capacity() * e.scenario.load * e.scenario.Customers[customer].Share * e.surge[customer]
	wait := time.Duration(e.random.ExpFloat64() / rate * float64(time.Second))
	e.queue.add(event{at: e.now + wait, kind: eventArrival, index: customer})
}

// arrive hands a new request to one of the customer's VMs.
func (e *engine) arrive(customer int) {
	e.nextArrival(customer)
	v := e.pickVM(customer)
	if v == nil {
		return
	}
	e.nextID++
	request := &Request{ID: e.nextID, Customer: customer, Arrived: e.now, Deadline: e.now + requestDeadline}
	request.Idempotent = e.random.Float64() < e.scenario.Customers[customer].IdempotentShare
	e.record.arrived(e, request)
	if v.paused {
		v.deferred = append(v.deferred, event{kind: eventArrival, index: customer})
		return
	}
	if !v.admission.Arrived(e.now, request) {
		e.record.refused(e, request, "admission")
		return
	}
	e.pump(v)
	e.deliver(v)
}

// pickVM returns a live VM of the customer's; callers notice a dead one at once.
func (e *engine) pickVM(customer int) *vm {
	home := e.homes[customer]
	first := e.random.IntN(len(home))
	for i := range home {
		v := e.vms[home[(first+i)%len(home)]]
		if !v.dead {
			return v
		}
	}
	return nil
}

// pump dispatches queued requests while targets take them.
func (e *engine) pump(v *vm) {
	for {
		request := v.admission.Peek(e.now)
		if request == nil {
			return
		}
		if e.now >= request.Deadline {
			v.admission.Pop(e.now)
			v.admission.Ended(e.now, request, false)
			e.record.refused(e, request, "deadline")
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

// choose asks for a trial first, then for an ordinary target.
func (e *engine) choose(v *vm, request *Request) (target int, trial, ok bool) {
	if request.Idempotent && request.Attempts == 0 {
		if target, ok = v.health.NextTrial(e.now); ok {
			return target, true, true
		}
	}
	target, ok = v.chooser.Choose(e.now, request, v.health.Weights(request.Idempotent))
	return target, false, ok
}

// send starts an attempt.
func (e *engine) send(v *vm, request *Request, target int, trial bool) {
	e.nextID++
	request.Attempts++
	f := &flight{vm: v.index, request: request, sent: e.now}
	f.Attempt = Attempt{ID: e.nextID, Target: target, Idempotent: request.Idempotent, Trial: trial}
	v.health.Started(e.now, f.Attempt)
	v.chooser.Started(e.now, target)
	e.record.sent(e, f)
	e.queue.add(event{at: e.now + e.scenario.size.Delay, kind: eventAtTarget, attempt: f})
}

// reachTarget lets an attempt arrive at its target.
func (e *engine) reachTarget(f *flight) {
	target := e.targets[f.Target]
	switch {
	case target.dead:
		e.answer(f, health.Refused)
	case target.leaving:
		e.answer(f, health.Draining)
	case len(target.running) < target.slots:
		e.startService(target, f)
	case len(target.waiting) >= target.slots*queuePerSlot:
		e.answer(f, health.Shed)
	default:
		target.waiting = append(target.waiting, f)
		e.queue.add(event{at: f.request.Deadline, kind: eventTimeout, index: f.vm, attempt: f})
	}
}

// startService takes a slot.
func (e *engine) startService(target *fakeTarget, f *flight) {
	target.running = append(target.running, f)
	f.kind = e.resultOf(target, f)
	end := e.now + target.serve(e.clock)
	f.due = end
	e.queue.add(event{at: end, kind: eventServiceEnd, attempt: f})
	if end > f.request.Deadline || target.hung {
		e.queue.add(event{at: f.request.Deadline, kind: eventTimeout, index: f.vm, attempt: f})
	}
}

// resultOf draws how a request will end.
func (e *engine) resultOf(target *fakeTarget, f *flight) health.Kind {
	failPart := max(errorShare, target.failPart, e.failing[f.request.Customer])
	if target.wrong || e.clock.random.Float64() < failPart {
		return health.Wrong
	}
	return health.Succeeded
}

// endService frees a slot and sends the answer, unless the target hangs.
func (e *engine) endService(f *flight) {
	target := e.targets[f.Target]
	if f.finished {
		return
	}
	if target.hung {
		e.queue.add(event{at: f.request.Deadline, kind: eventTimeout, index: f.vm, attempt: f})
		return
	}
	e.release(target, f)
	e.answer(f, f.kind)
}

// release frees what an attempt holds at its target and starts the next one.
func (e *engine) release(target *fakeTarget, f *flight) {
	f.finished = true
	if !target.remove(f) || len(target.waiting) == 0 {
		return
	}
	next := target.waiting[0]
	target.waiting = target.waiting[1:]
	e.startService(target, next)
}

// answer carries an answer back to the VM, unless the path loses it.
func (e *engine) answer(f *flight, kind health.Kind) {
	f.kind = kind
	f.finished = true
	if e.blocked[f.vm][f.Target] {
		e.queue.add(event{at: max(e.now, f.request.Deadline), kind: eventTimeout, index: f.vm, attempt: f})
		return
	}
	e.queue.add(event{at: e.now + e.scenario.size.Delay, kind: eventAnswer, index: f.vm, attempt: f})
}

// timeOut ends an attempt at its deadline and cancels it at the target.
func (e *engine) timeOut(v *vm, f *flight) {
	if f.ended {
		return
	}
	if !f.finished {
		e.release(e.targets[f.Target], f)
	}
	e.endAttempt(v, f, health.TimedOut)
}

// endAttempt tells the deciders and retries or ends the request.
func (e *engine) endAttempt(v *vm, f *flight, kind health.Kind) {
	if f.ended {
		return
	}
	f.ended = true
	v.chooser.Ended(e.now, f.Target, kind)
	v.health.Ended(e.now, f.Attempt, kind, e.now-f.sent)
	request := f.request
	if kind == health.Succeeded {
		v.admission.Ended(e.now, request, true)
		e.record.answered(e, request)
		e.pump(v)
		return
	}
	e.retry(v, f, kind)
	e.pump(v)
}

// retry sends another attempt when that is safe and allowed.
func (e *engine) retry(v *vm, f *flight, kind health.Kind) {
	request := f.request
	request.Exclude = append(request.Exclude, f.Target)
	ranNot := kind == health.Refused || kind == health.Shed || kind == health.Draining
	safe := (ranNot || request.Idempotent) && e.now < request.Deadline
	if safe && v.retrier.Retry(e.now, request, kind) {
		target, ok := v.chooser.Choose(e.now, request, v.health.Weights(request.Idempotent))
		if ok {
			e.send(v, request, target, false)
			return
		}
	}
	v.admission.Ended(e.now, request, false)
	e.record.refused(e, request, string(kind))
}
