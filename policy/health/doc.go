// Package health decides how much work each target of a service gets.
//
// # Evidence
//
// A Tracker runs on one VM for one service. Its input is the start and end of
// attempts, the results of probes, and the news of the service's other VMs. From
// each attempt it derives a log-likelihood ratio for each rule: how much likelier
// is this result if the target fails, sends wrong responses, has stalled, or is
// slow, than if it is like the others? The ratios come from observations of the
// service's targets: a histogram of service times, which the VMs share, and the
// expected share of failures. Service times are compared after removal of a factor
// that all targets have in common, so that overload makes no target faulty. An
// attempt in progress is evidence by its age already.
//
// # Scores
//
// The ratios add up to scores that never fall below zero: a CUSUM test. VMs
// exchange their increments, so that a score holds the evidence of all VMs. Some
// targets' responses queue behind one another and are not independent; the limits
// are stretched by how high the scores of healthy targets rise (see calibration).
// The limit itself follows from the accepted number of false ejections of a target
// in a month (see Threshold).
//
// # Decisions
//
// A rising score first lowers a target's share of work (Reduced). From half of
// the limit on, the target gets only idempotent requests, at a bounded rate, as
// trials (Probation). At the limit the target is ejected (Ejected), if a part of
// the score remains without the zone that has the most evidence; otherwise the
// path is assumed to be faulty, and only the VMs that see the fault avoid the
// target (Avoided). A target all of whose slots are held by overdue attempts gets no
// new work until one is free (Held). Probes alone never mark a target faulty or
// clear it.
//
// After a back-off that doubles with each recent ejection, trials by idempotent
// requests decide whether the target returns. Its share of work then grows
// gradually (Ramping).
//
// # The floor
//
// Each change decides again which of the targets that should be out of service are
// ejected: the worst first, as long as the slots of the targets that remain in
// service, without those leaving or ramping, stay at or above the floor. VMs with
// the same evidence use the same order. VMs whose news is late may eject different
// targets for that time; each of them still keeps the floor for itself, and the
// targets ejected on all VMs are a subset of those ejected on any one VM.
package health
