// Package quota decides whether a customer's request is within the rate limit that holds for
// all VMs together.
//
// Each VM keeps a token bucket of the whole fleet for each customer, an account. It charges
// the requests that it admits itself at once, and those of other VMs when they report them.
// Reports are counts, so that the next one makes up for a lost one. Between two reports of a
// VM the account expects that VM to go on at its recent rate, and the next report corrects
// the expectation. Tokens may go below zero, since VMs admit requests before they hear of
// each other's; the deficit is paid back before another request is admitted.
//
// A VM that serves callers and is silent may be at the other side of a network partition. An
// even share of the rate and of the burst stays reserved for it, and is corrected when it is
// heard again. Both sides of a partition thus share the limit.
//
// Two rules bound what VMs admit before they receive one another's reports. A VM whose
// unreported requests come close to what is left sends a report at once. And while other VMs
// also serve the customer, a VM admits within unheardTime at most its share of what is left and
// of the allowed overrun.
//
// The bucket aims a little above the limit, so that late or lost reports do not cost a
// customer requests that are within it. The rest of the allowed overrun is for what VMs
// admit before they hear of one another.
package quota
