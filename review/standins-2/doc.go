// Command standins-2 plays the cases of the second review: it starts the project's daemons as separate
// processes on loopback addresses, stands in for the platform's store, the upstreams and the requesters,
// and checks one rule by what these have seen.
//
// Usage: standins-2 CASE RECORD. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case
// could not run. With TROUBLE=0 in the environment, it leaves the disruption out.
package main
