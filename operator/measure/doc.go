// Package measure simulates the policies of a service's VMs in virtual time
// and measures the results of the requests: latency, refusals, fault detection
// and false ejections.
//
// A single discrete-event loop feeds the customers' requests to the deciders
// (the policy components) of each VM, and carries their attempts to simulated
// targets with slots, a queue, a service-time distribution, a load report and
// a timeline of faults. It models neither the network, processes, cluster
// membership nor the distribution of configuration.
//
// # Plugging in a decider
//
// A Policy names the constructors of four deciders for each VM:
//
//   - Admission refuses or queues arriving requests and decides which request
//     is dispatched next (Arrived, Peek, Pop, Ended).
//   - Chooser picks the target of an attempt among those of positive weight,
//     or makes the request wait (Choose, Started, Ended, Reported).
//   - Health evaluates targets from attempts, probes and ticks, and provides
//     Weights, NextTrial and State.
//   - Retrier decides whether a failed attempt is retried.
//
// A decider that also implements Messenger exchanges messages with the same
// decider of the other VMs: the engine collects Outbox after each event of a
// VM and delivers its messages after the service's network delay. A Chooser,
// Admission or Retrier that implements Ticker is called every TickInterval. An
// Admission that implements Configurer receives changed customer parameters.
//
// Order of calls for one request: Admission.Arrived; then, whenever the VM has
// something to send, Admission.Peek, Health.NextTrial or Chooser.Choose,
// Admission.Pop, Retrier.Sent, Health.Started, Chooser.Started; when the
// attempt ends, Chooser.Ended, Health.Ended, then either Retrier.Retry and
// another attempt, or Admission.Ended. A request for which no target is
// available stays at the head of the queue; the engine tries again when an
// attempt ends or at the next tick.
//
// Time is a time.Duration since the start of the run. Each VM's deciders get
// their own seeded random source; the same scenario and seed give the same
// result.
package measure
