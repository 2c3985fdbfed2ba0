// Package measure runs the policy deciders of a service's VMs in virtual time
// and measures what becomes of the requests.
//
// One event loop feeds arrivals by customer to the deciders of each VM, and
// carries their attempts to fake targets with slots, a queue, a service-time
// distribution, a load report and a timeline of faults. There is no network,
// no process, no membership and no configuration in it.
//
// # Plugging in a decider
//
// A Policy names the constructors of four deciders for each VM:
//
//   - Admission takes arriving requests, refuses or queues them, and says which
//     goes next (Peek, Pop, Ended).
//   - Chooser picks the target of an attempt among those of positive weight,
//     or lets the request wait (Choose, Started, Ended, Reported).
//   - Health judges targets from attempts, probes and ticks, and publishes
//     Weights, Trial and State.
//   - Retrier allows another attempt after a failure.
//
// A decider that also implements Messenger exchanges messages with the same
// decider of the other VMs: the engine collects Outbox after each event of a
// VM and delivers after the scenario's peer delay. A Chooser or Admission
// that implements Ticker is called every TickInterval. An Admission that
// implements Configurer is told of changed customers.
//
// Order of calls for one request: Admission.Arrived; then, whenever the VM has
// something to send, Admission.Peek, Health.Trial or Chooser.Choose,
// Admission.Pop, Retrier.Sent, Health.Started, Chooser.Started; at the end
// Chooser.Ended, Health.Ended, then either Retrier.Retry and another attempt,
// or Admission.Ended. A request that no target may take now stays at the
// head; the engine asks again when an attempt ends or at the next tick.
//
// Time is a time.Duration since the start of the run. Deciders get their own
// seeded random source; the same scenario and seed give the same result.
package measure
