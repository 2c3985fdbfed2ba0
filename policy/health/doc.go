// Package health decides which targets of a service are fit for work.
//
// # Evidence
//
// A Tracker works on one VM for one service. It is told when attempts start
// and end, of probes, and of the news of the service's other VMs. From each
// attempt it derives a log-likelihood ratio for each rule: how much likelier
// is this end if the target fails, answers wrongly, has stalled, or is slow,
// than if it is like the others? The ratios come from what the service's
// targets are seen to do: a histogram of service times, which the VMs share,
// and the usual share of failures. Service times are compared after removal of
// a factor that all targets have in common, so that overload convicts nobody.
// An attempt in progress counts by its age already.
//
// # Scores
//
// The ratios add up to scores that never fall below zero: a CUSUM test. VMs
// exchange their increments, so that a score holds the evidence of all. Some
// targets' answers queue behind one another and are not independent; how far
// the scores of healthy targets wander shows by how much, and the limits are
// stretched accordingly (see calibration). The limit itself follows from the
// accepted number of false ejections of a target in a month (see Threshold).
//
// # Decisions
//
// A rising score first lowers a target's share of work (Reduced). From half of
// the limit on, only requests that may run twice are sent, at a bounded rate,
// to settle the matter (Probation). At the limit the target is ejected, if a
// part of the score remains without any one zone; otherwise the path is to
// blame, and only the VMs that see the fault avoid it (Avoided). A target all
// of whose slots are held by old attempts gets no new work meanwhile (Held).
// Probes never convict and never clear by themselves.
//
// After a back-off that doubles with each offence, trials by requests that may
// run twice decide on the return, which is a ramp (Ramping).
//
// # The floor
//
// Each change decides afresh which of the targets that should be out are out:
// the worst first, as long as the slots of targets that are live, not leaving,
// not ramping and not out stay at or above the floor. VMs with the same
// evidence arrive at the same order. VMs whose news is late may for that time
// keep out different targets; each of them still keeps the floor for itself,
// and the targets out everywhere are a part of those out on any one VM.
package health
