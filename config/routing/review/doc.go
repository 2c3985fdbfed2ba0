// Package review checks a version of the routes before it is published, and
// compares it with the version in force.
//
// Review takes a routing.Document and returns a Report of three lists. Findings
// are what is wrong or doubtful: each has a place and a reason, and all are
// reported at once. A finding is an error when a part is invalid, can never be
// used, or has limits that exclude one another; otherwise it is a warning.
// Changes are the differences from the version in force, in operators' terms.
// Bounds say how soon, and within which limits, VMs apply these changes; they
// follow from the settings and are empty without them.
//
// The package is pure, and no key or digest of a key appears in a report: keys
// are stated as counts.
package review
