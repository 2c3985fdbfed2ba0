// Package suspicion estimates, for each target, how likely it is to be failing
// or slow at this moment.
//
// Each target is a two-state hidden Markov model for each of two faults: it is
// well or ill, changes between the two at known rates, and shows its state only
// through the ends of attempts. An attempt's end is evidence in nats, the
// logarithm of how much more likely it is from an ill target than from a well
// one; evidence of several VMs adds up. Between attempts the estimate returns
// to the rate at which targets are ill, so an ill target that nobody tries is
// tried again after some seconds.
//
// The package has no clock and no I/O: times come in as arguments.
package suspicion
