// Package suspicion estimates, for each target, how likely it is to be failing
// or slow at this moment.
//
// Each kind of fault of a target is a two-state hidden Markov model: the target
// is healthy or faulty, changes between the two at known rates, and shows its
// state only through the results of attempts. The evidence of a result is a
// log-likelihood ratio in nats: the logarithm of how much more likely a faulty
// target gives this result than a healthy one. The evidence of several VMs adds
// up. Without new evidence the estimate returns to the long-term share of faulty
// targets, so a faulty target that gets no attempts is used again after some
// seconds.
//
// The package has no clock and no I/O: times come in as arguments.
package suspicion
